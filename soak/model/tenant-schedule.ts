/** Changes of tenants and moments of high load, drawn in addition to the faults. */
import type { Random } from '../../src/core/random.js';
import type { ScheduledFault } from './schedule.js';

/** A change that the operator makes to the tenants in a new version of the configuration. */
export type TenantChange = 'revoke-key' | 'move-key' | 'lower-quota';

/** Additional load: one tenant far over its quota, or two classes that need more than the slots of a service. */
export type TenantLoad = 'over-quota' | 'over-capacity';

/** An event that concerns tenants; durations are in milliseconds. */
export type TenantFault =
  | { readonly type: 'tenant-change'; readonly change: TenantChange }
  | { readonly type: 'tenant-load'; readonly load: TenantLoad; readonly forMs: number };

interface ScheduledTenantFault {
  readonly atMs: number;
  readonly fault: TenantFault;
}

/** Minimum and maximum gap between two changes, in milliseconds. */
const MIN_CHANGE_GAP_MS = 1_000;
const MAX_CHANGE_GAP_MS = 5_000;

/** Minimum and maximum duration of a load over the quota: longer than a quota window of 5 s. */
const MIN_OVER_QUOTA_MS = 6_000;
const MAX_OVER_QUOTA_MS = 9_000;

/** Minimum and maximum duration of a load over the capacity, in milliseconds. */
const MIN_OVER_CAPACITY_MS = 2_000;
const MAX_OVER_CAPACITY_MS = 4_000;

const CHANGES: readonly TenantChange[] = ['revoke-key', 'revoke-key', 'move-key'];

const drawBetween = (random: Random, least: number, most: number): number =>
  least + random.nextBelow(most - least + 1);

const drawChanges = (random: Random, durationMs: number): readonly ScheduledTenantFault[] => {
  const schedule: ScheduledTenantFault[] = [];
  let atMs = random.nextBelow(MIN_CHANGE_GAP_MS);
  while (atMs < durationMs) {
    const change = CHANGES[random.nextBelow(CHANGES.length)] ?? 'revoke-key';
    schedule.push({ atMs, fault: { type: 'tenant-change', change } });
    atMs += drawBetween(random, MIN_CHANGE_GAP_MS, MAX_CHANGE_GAP_MS);
  }
  return schedule;
};

/** Minimum and maximum duration of a cut from the store: longer than the bound on revocations of 5 s. */
const MIN_CUT_MS = 7_500;
const MAX_CUT_MS = 10_000;

/** Time from the start of the cut to the removal of a key, in milliseconds. */
const REMOVAL_AFTER_MS = 300;

/**
 * Draws a cut of one gateway from the store and of all links between gateways, during which a key is removed. The links of
 * one gateway alone would leave the connections that it opens itself.
 */
export const drawLongCut = (
  random: Random,
  durationMs: number,
  { gateways, usesPeerLinks }: { readonly gateways: number; readonly usesPeerLinks: boolean },
): readonly ScheduledFault[] => {
  const forMs = drawBetween(random, MIN_CUT_MS, MAX_CUT_MS);
  const atMs = random.nextBelow(Math.max(1, Math.round(durationMs - forMs)));
  const cut = {
    gateways: [random.nextBelow(gateways)],
    trouble: random.nextBelow(2) === 0 ? 'refuse' : 'silence',
    forMs,
  } as const;
  const all = Array.from({ length: gateways }, (_, index) => index);
  return [
    { atMs, fault: { type: 'store-link', ...cut } },
    ...(usesPeerLinks
      ? [{ atMs, fault: { type: 'peer-link', ...cut, gateways: all } as const }]
      : []),
    { atMs: atMs + REMOVAL_AFTER_MS, fault: { type: 'tenant-change', change: 'revoke-key' } },
  ];
};

/** Draws the changes of tenants and the loads of a run whose faults last `durationMs` milliseconds. */
export const drawTenantSchedule = (
  random: Random,
  durationMs: number,
): readonly ScheduledTenantFault[] => {
  const overQuotaMs = drawBetween(random, MIN_OVER_QUOTA_MS, MAX_OVER_QUOTA_MS);
  const overCapacityMs = drawBetween(random, MIN_OVER_CAPACITY_MS, MAX_OVER_CAPACITY_MS);
  const drawStart = (forMs: number): number =>
    random.nextBelow(Math.max(1, Math.round(durationMs - forMs)));
  return [
    ...drawChanges(random, durationMs),
    // In the first half, so that the lowered quota is in force for some windows.
    {
      atMs: random.nextBelow(Math.max(1, Math.round(durationMs / 2))),
      fault: { type: 'tenant-change', change: 'lower-quota' },
    },
    {
      atMs: drawStart(overQuotaMs),
      fault: { type: 'tenant-load', load: 'over-quota', forMs: overQuotaMs },
    },
    {
      atMs: drawStart(overCapacityMs),
      fault: { type: 'tenant-load', load: 'over-capacity', forMs: overCapacityMs },
    },
  ];
};
