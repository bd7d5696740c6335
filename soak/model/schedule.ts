/** Faults and their start times. All are drawn before the run, so that a seed reproduces the same schedule. */
import type { Random } from '../../src/core/random.js';
import { ENDLESS_ANSWERS } from '../../test/platform/endless-answer.js';
import { SERVICES } from '../world/topology.js';
import type { TenantFault } from './tenant-schedule.js';

/** How the store handles requests while it is down. */
export type StoreOutage = 'resetting' | 'silent' | 'busy' | 'throttling';

/** How a proxy fails the connections from a gateway to the store or from peers to a gateway. */
export type LinkFailure = 'refuse' | 'silence' | 'delay';

/** A failure of the links of some gateways; the duration is in milliseconds. */
export interface LinkFault<Type extends 'store-link' | 'peer-link'> {
  readonly type: Type;
  readonly gateways: readonly number[];
  readonly trouble: LinkFailure;
  readonly forMs: number;
}

/** A fault; durations and gaps are in milliseconds. */
export type Fault =
  | { readonly type: 'stop-in-turn'; readonly gateways: readonly number[] }
  | { readonly type: 'kill'; readonly gateways: readonly number[]; readonly downMs: number }
  | { readonly type: 'pause'; readonly gateway: number; readonly forMs: number }
  | { readonly type: 'reload'; readonly gateways: readonly number[] }
  | { readonly type: 'configure'; readonly count: number; readonly gapMs: number }
  | { readonly type: 'delay-watches'; readonly delayMs: number; readonly forMs: number }
  | { readonly type: 'mute-watches'; readonly forMs: number }
  | { readonly type: 'change-and-forget'; readonly muteMs: number }
  | { readonly type: 'store-down'; readonly outage: StoreOutage; readonly forMs: number }
  | { readonly type: 'store-loses-answers'; readonly forMs: number }
  | {
      /** The store fails and is restored from a backup; the operator and the replicas then write their entries again. */
      readonly type: 'store-returns';
      readonly outage: StoreOutage;
      readonly copyAgeMs: number;
      readonly awayMs: number;
      /** Time within which all entries are written again. */
      readonly rewriteMs: number;
    }
  | LinkFault<'store-link'>
  | LinkFault<'peer-link'>
  | {
      readonly type: 'replica-leaves';
      readonly service: string;
      readonly how: 'drain' | 'vanish' | 'crash';
    }
  | { readonly type: 'replica-loses-answers'; readonly service: string; readonly forMs: number }
  /** A replica sends bytes of this form without end in place of answers. */
  | {
      readonly type: 'replica-sends-without-end';
      readonly service: string;
      readonly form: string;
      readonly forMs: number;
    }
  /** A replica breaks off its answers in this form. */
  | {
      readonly type: 'replica-breaks-off';
      readonly service: string;
      readonly form: string;
      readonly forMs: number;
    }
  /** All replicas of a service answer every request with a failure. */
  | { readonly type: 'service-fails'; readonly service: string; readonly forMs: number }
  /** A replica stops and starts again with the same identifier. */
  | { readonly type: 'replica-restarts'; readonly service: string; readonly downMs: number }
  /** Another writer overwrites the entry of a replica, which later restores its own. */
  | { readonly type: 'entry-spoilt'; readonly service: string; readonly forMs: number }
  | TenantFault;

/** A fault and its start time, in milliseconds since the start of the schedule. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** Time at the end of the schedule in which no fault starts, in milliseconds, so that the last ones can end. */
export const QUIET_END_MS = 4_000;

/** Maximum gap between two faults, in milliseconds; one in three starts almost together with the previous one. */
const MAX_GAP_MS = 5_000;

/** Maximum duration of a fault of the store, a link or a replica, in milliseconds. */
const MAX_FAULT_MS = 4_000;

/** Maximum process pause, in milliseconds; some pauses are shorter than a probe of the peers, some longer. */
const MAX_PROCESS_PAUSE_MS = 6_000;

const pick = <Value>(random: Random, values: readonly [Value, ...Value[]]): Value =>
  values[random.nextBelow(values.length)] ?? values[0];

/** Draws an integer from `least` to `most`. */
export const drawBetween = (random: Random, least: number, most: number): number =>
  least + random.nextBelow(most - least + 1);

/** Draws `count` different gateways, in random order. */
export const pickGateways = (
  random: Random,
  gateways: number,
  count: number,
): readonly number[] => {
  const left = Array.from({ length: gateways }, (_, index) => index);
  return Array.from({ length: Math.min(count, gateways) }).flatMap(() =>
    left.splice(random.nextBelow(left.length), 1),
  );
};

/** Draws one of the services. */
export const drawService = (random: Random): string =>
  SERVICES[random.nextBelow(SERVICES.length)] ?? 'desk';

const drawFaultMs = (random: Random): number => drawBetween(random, 300, MAX_FAULT_MS);

type FaultDraw = (random: Random, gateways: number) => Fault;

/** One entry per kind of fault; a kind with several entries is drawn more often. */
const FAULT_DRAWS: readonly [FaultDraw, ...FaultDraw[]] = [
  (random, gateways) => ({
    type: 'stop-in-turn',
    gateways: pickGateways(random, gateways, drawBetween(random, 1, 3)),
  }),
  (random, gateways) => ({
    type: 'kill',
    gateways: pickGateways(random, gateways, 1),
    downMs: drawBetween(random, 200, 3_000),
  }),
  (random, gateways) => ({
    type: 'kill',
    gateways: pickGateways(random, gateways, drawBetween(random, 2, gateways)),
    downMs: drawBetween(random, 200, 1_500),
  }),
  (random, gateways) => ({
    type: 'pause',
    gateway: random.nextBelow(gateways),
    forMs: drawBetween(random, 200, MAX_PROCESS_PAUSE_MS),
  }),
  (random, gateways) => ({
    type: 'reload',
    gateways: pickGateways(random, gateways, drawBetween(random, 1, gateways)),
  }),
  (random) => ({ type: 'configure', count: 1, gapMs: drawBetween(random, 0, 500) }),
  (random) => ({
    type: 'configure',
    count: drawBetween(random, 2, 8),
    gapMs: drawBetween(random, 0, 600),
  }),
  (random) => ({
    type: 'delay-watches',
    delayMs: drawBetween(random, 200, 2_000),
    forMs: drawFaultMs(random),
  }),
  (random) => ({ type: 'mute-watches', forMs: drawFaultMs(random) }),
  (random) => ({ type: 'change-and-forget', muteMs: drawBetween(random, 500, 1_500) }),
  (random) => ({
    type: 'store-down',
    outage: pick(random, ['resetting', 'silent', 'busy', 'throttling']),
    forMs: drawFaultMs(random),
  }),
  (random) => ({ type: 'store-loses-answers', forMs: drawFaultMs(random) }),
  (random, gateways) => ({
    type: 'store-link',
    gateways: pickGateways(random, gateways, drawBetween(random, 1, Math.ceil(gateways / 2))),
    trouble: pick(random, ['refuse', 'silence', 'delay']),
    forMs: drawFaultMs(random),
  }),
  (random) => ({
    type: 'replica-leaves',
    service: drawService(random),
    how: pick(random, ['drain', 'vanish', 'crash']),
  }),
  (random) => ({
    type: 'replica-leaves',
    service: drawService(random),
    how: pick(random, ['drain', 'vanish']),
  }),
  (random) => ({
    type: 'replica-loses-answers',
    service: drawService(random),
    forMs: drawFaultMs(random),
  }),
];

/** Minimum and maximum gap between two regular versions, in milliseconds. */
const MIN_VERSION_GAP_MS = 1_500;
const MAX_VERSION_GAP_MS = 4_500;

/** Draws versions of the configuration throughout a run, in addition to those of its faults. */
export const drawVersions = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    schedule.push({ atMs, fault: { type: 'configure', count: 1, gapMs: 0 } });
    atMs += drawBetween(random, MIN_VERSION_GAP_MS, MAX_VERSION_GAP_MS);
  }
  return schedule;
};

/** Maximum time from the start of the last store fault to the last version, in milliseconds. */
const MAX_LAST_VERSION_DELAY_MS = 2_000;

/**
 * Draws a fault of the store and a version that is written during it and is the last of the run. A gateway that
 * misses this version can't learn it along with a later one.
 */
export const drawLastVersion = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const forMs = drawFaultMs(random);
  const storeFault = pick<Fault>(random, [
    { type: 'change-and-forget', muteMs: drawBetween(random, 500, 1_500) },
    { type: 'mute-watches', forMs },
    { type: 'delay-watches', delayMs: drawBetween(random, 200, 2_000), forMs },
    { type: 'store-loses-answers', forMs },
    { type: 'store-down', outage: 'silent', forMs },
  ]);
  const atMs = durationMs - QUIET_END_MS;
  const versionAtMs = atMs + random.nextBelow(MAX_LAST_VERSION_DELAY_MS);
  return [
    { atMs, fault: storeFault },
    { atMs: versionAtMs, fault: { type: 'configure', count: 1, gapMs: 0 } },
  ];
};

/** Minimum and maximum gap between two replica replacements, in milliseconds. */
const MIN_REPLACEMENT_GAP_MS = 300;
const MAX_REPLACEMENT_GAP_MS = 1_500;

/** Draws replica replacements, one after the other. */
export const drawReplacements = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs;) {
    const how = pick<'drain' | 'vanish'>(random, ['drain', 'vanish']);
    schedule.push({ atMs, fault: { type: 'replica-leaves', service: drawService(random), how } });
    atMs += drawBetween(random, MIN_REPLACEMENT_GAP_MS, MAX_REPLACEMENT_GAP_MS);
  }
  return schedule;
};

/** Minimum and maximum gap between two failures of peer links, in milliseconds. */
const MIN_PEER_GAP_MS = 3_000;
const MAX_PEER_GAP_MS = 10_000;

/** Draws failures of the links between gateways, in addition to the other faults. */
export const drawPeerLinkFaults = (
  random: Random,
  durationMs: number,
  gateways: number,
): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const fault: Fault = {
      type: 'peer-link',
      gateways: pickGateways(random, gateways, drawBetween(random, 1, Math.ceil(gateways / 2))),
      trouble: pick(random, ['refuse', 'silence', 'delay']),
      forMs: drawFaultMs(random),
    };
    schedule.push({ atMs, fault });
    atMs += drawBetween(random, MIN_PEER_GAP_MS, MAX_PEER_GAP_MS);
  }
  return schedule;
};

/** Maximum age of the backup, outage, and time until all entries are written again, in milliseconds. */
const MAX_BACKUP_AGE_MS = 10_000;
const MAX_OUTAGE_MS = 3_000;
const MAX_REWRITE_MS = 2_000;

/** Minimum and maximum gap between two restores, in milliseconds; one in three follows the previous one at once. */
const MIN_RESTORE_GAP_MS = 4_000;
const MAX_RESTORE_GAP_MS = 10_000;

/** Draws restores of the store from backups, in addition to the other faults. */
export const drawStoreRestores = (
  random: Random,
  durationMs: number,
): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const fault: Fault = {
      type: 'store-returns',
      outage: pick(random, ['resetting', 'silent', 'busy', 'throttling']),
      copyAgeMs: random.nextBelow(MAX_BACKUP_AGE_MS),
      awayMs: drawBetween(random, 50, MAX_OUTAGE_MS),
      rewriteMs: random.nextBelow(MAX_REWRITE_MS),
    };
    schedule.push({ atMs, fault });
    const isSeries = random.nextBelow(3) === 0;
    atMs += isSeries ? 100 : drawBetween(random, MIN_RESTORE_GAP_MS, MAX_RESTORE_GAP_MS);
  }
  return schedule;
};

/** Minimum and maximum downtime of a replica that restarts and duration of an overwritten entry, in milliseconds. */
const MIN_DOWN_MS = 50;
const MAX_DOWN_MS = 3_000;
const MIN_SPOILT_MS = 1_000;
const MAX_SPOILT_MS = 9_000;

/** Minimum and maximum gap between two of these faults, in milliseconds; one in three follows the previous one at once. */
const MIN_ENTRY_GAP_MS = 1_000;
const MAX_ENTRY_GAP_MS = 5_000;

/** Draws restarts of replicas and overwritten entries, in addition to the other faults. */
export const drawEntryFaults = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const service = drawService(random);
    const fault = pick<Fault>(random, [
      { type: 'replica-restarts', service, downMs: drawBetween(random, MIN_DOWN_MS, MAX_DOWN_MS) },
      { type: 'entry-spoilt', service, forMs: drawBetween(random, MIN_SPOILT_MS, MAX_SPOILT_MS) },
    ]);
    schedule.push({ atMs, fault });
    const isSeries = random.nextBelow(3) === 0;
    atMs += isSeries ? 100 : drawBetween(random, MIN_ENTRY_GAP_MS, MAX_ENTRY_GAP_MS);
  }
  return schedule;
};

/** Minimum and maximum gap between two replicas that send bytes without end, in milliseconds. */
const MIN_ENDLESS_GAP_MS = 500;
const MAX_ENDLESS_GAP_MS = 4_000;

/** Draws replicas that send bytes without end, in addition to the other faults. */
export const drawEndlessAnswers = (
  random: Random,
  durationMs: number,
): readonly ScheduledFault[] => {
  const forms = Object.keys(ENDLESS_ANSWERS);
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const form = forms[random.nextBelow(forms.length)] ?? '';
    const service = drawService(random);
    const type = 'replica-sends-without-end';
    schedule.push({ atMs, fault: { type, service, form, forMs: drawFaultMs(random) } });
    atMs += drawBetween(random, MIN_ENDLESS_GAP_MS, MAX_ENDLESS_GAP_MS);
  }
  return schedule;
};

/** Draws the faults of a run for `durationMs` milliseconds; some overlap, and others have quiet periods between them. */
export const drawSchedule = (
  random: Random,
  durationMs: number,
  gateways: number,
): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    schedule.push({ atMs, fault: pick(random, FAULT_DRAWS)(random, gateways) });
    const isTogether = random.nextBelow(3) === 0;
    atMs += isTogether ? random.nextBelow(300) : random.nextBelow(MAX_GAP_MS);
  }
  return schedule;
};
