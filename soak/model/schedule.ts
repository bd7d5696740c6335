/** Faults and when they come; all is drawn before the run, so that a seed gives the same series again. */
import type { Random } from '../../src/core/random.js';
import { SERVICES } from '../world/topology.js';

/** How the store treats all callers while it is down. */
export type StoreOutage = 'resetting' | 'silent' | 'busy' | 'throttling';

/** How a proxy treats connections: those of a gateway to the store, or of its peers to a gateway. */
export type LinkFailure = 'refuse' | 'silence' | 'delay';

/** Trouble with the links of some gateways; the duration in milliseconds. */
export interface LinkFault<Type extends 'store-link' | 'peer-link'> {
  readonly type: Type;
  readonly gateways: readonly number[];
  readonly trouble: LinkFailure;
  readonly forMs: number;
}

/** A fault; durations and pauses in milliseconds. */
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
      /** The store goes away and comes back from a copy; what the operator and the replicas wrote is written again. */
      readonly type: 'store-returns';
      readonly outage: StoreOutage;
      readonly copyAgeMs: number;
      readonly awayMs: number;
      /** Within this time all is written again. */
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
  /** A replica ends, and starts again under the identifier that it had. */
  | { readonly type: 'replica-restarts'; readonly service: string; readonly downMs: number }
  /** Another writer overwrites the entry of a replica; after a while the replica writes its own again. */
  | { readonly type: 'entry-spoilt'; readonly service: string; readonly forMs: number };

/** A fault and when it begins, in milliseconds from the first possible one. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** Time before the end of the faults in which none begins, in milliseconds: the last ones must end. */
const QUIET_END_MS = 4_000;

/** Longest pause between two faults; one of three comes at once with the one before. */
const MAX_GAP_MS = 5_000;

/** Longest trouble with the store, a link or a replica, in milliseconds. */
const MAX_FAULT_MS = 4_000;

/** Longest pause of a process, in milliseconds: some are shorter than a probe, some longer. */
const MAX_PROCESS_PAUSE_MS = 6_000;

const pick = <Value>(random: Random, values: readonly [Value, ...Value[]]): Value =>
  values[random.nextBelow(values.length)] ?? values[0];

const drawBetween = (random: Random, least: number, most: number): number =>
  least + random.nextBelow(most - least + 1);

/** `count` different gateways, in any order. */
const pickGateways = (random: Random, gateways: number, count: number): readonly number[] => {
  const left = Array.from({ length: gateways }, (_, index) => index);
  return Array.from({ length: Math.min(count, gateways) }).flatMap(() =>
    left.splice(random.nextBelow(left.length), 1),
  );
};

/** One of the services. */
export const drawService = (random: Random): string =>
  SERVICES[random.nextBelow(SERVICES.length)] ?? 'desk';

const drawFaultMs = (random: Random): number => drawBetween(random, 300, MAX_FAULT_MS);

type FaultDraw = (random: Random, gateways: number) => Fault;

/** One entry for each kind of fault; those that stand more than once are drawn more often. */
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

/** Shortest and longest pause between two versions that come besides, in milliseconds. */
const MIN_VERSION_GAP_MS = 1_500;
const MAX_VERSION_GAP_MS = 4_500;

/** Draws versions of the configuration that come all through a run, besides those of its faults. */
export const drawVersions = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    schedule.push({ atMs, fault: { type: 'configure', count: 1, gapMs: 0 } });
    atMs += drawBetween(random, MIN_VERSION_GAP_MS, MAX_VERSION_GAP_MS);
  }
  return schedule;
};

/** Longest time from the beginning of the last trouble to the last version, in milliseconds. */
const MAX_LAST_VERSION_DELAY_MS = 2_000;

/**
 * Draws the end of a run after which no version comes: trouble with the store, and a version meanwhile. A
 * gateway that has missed it does not learn it with the next one.
 */
export const drawLastVersion = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const forMs = drawFaultMs(random);
  const trouble = pick<Fault>(random, [
    { type: 'change-and-forget', muteMs: drawBetween(random, 500, 1_500) },
    { type: 'mute-watches', forMs },
    { type: 'delay-watches', delayMs: drawBetween(random, 200, 2_000), forMs },
    { type: 'store-loses-answers', forMs },
    { type: 'store-down', outage: 'silent', forMs },
  ]);
  const atMs = durationMs - QUIET_END_MS;
  const versionAtMs = atMs + random.nextBelow(MAX_LAST_VERSION_DELAY_MS);
  return [
    { atMs, fault: trouble },
    { atMs: versionAtMs, fault: { type: 'configure', count: 1, gapMs: 0 } },
  ];
};

/** Shortest and longest pause between two replicas that are replaced, in milliseconds. */
const MIN_REPLACEMENT_GAP_MS = 300;
const MAX_REPLACEMENT_GAP_MS = 1_500;

/** Draws replicas that are replaced one after the other. */
export const drawReplacements = (random: Random, durationMs: number): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs;) {
    const how = pick<'drain' | 'vanish'>(random, ['drain', 'vanish']);
    schedule.push({ atMs, fault: { type: 'replica-leaves', service: drawService(random), how } });
    atMs += drawBetween(random, MIN_REPLACEMENT_GAP_MS, MAX_REPLACEMENT_GAP_MS);
  }
  return schedule;
};

/** Shortest and longest pause between troubles of links between gateways, in milliseconds. */
const MIN_PEER_GAP_MS = 3_000;
const MAX_PEER_GAP_MS = 10_000;

/** Draws trouble with the connections of gateways to one another, besides the other faults. */
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

/** Oldest copy, longest time away, and time in which all is written again, in milliseconds. */
const MAX_BACKUP_AGE_MS = 10_000;
const MAX_OUTAGE_MS = 3_000;
const MAX_REWRITE_MS = 2_000;

/** Shortest and longest pause between two returns, in milliseconds; one of three follows the one before at once. */
const MIN_RESTORE_GAP_MS = 4_000;
const MAX_RESTORE_GAP_MS = 10_000;

/** Draws returns of the store from copies, besides the other faults. */
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

/** Shortest and longest time for which a replica is down that starts again, and for which an entry is spoilt. */
const MIN_DOWN_MS = 50;
const MAX_DOWN_MS = 3_000;
const MIN_SPOILT_MS = 1_000;
const MAX_SPOILT_MS = 9_000;

/** Shortest and longest pause between two of these, in milliseconds; one of three follows the one before at once. */
const MIN_ENTRY_GAP_MS = 1_000;
const MAX_ENTRY_GAP_MS = 5_000;

/** Draws replicas that start again under their identifiers, and entries of other writers, besides the other faults. */
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

/** Draws the faults of a run for `durationMs`; some overlap, and between some all is calm. */
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
