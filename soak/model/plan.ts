/** What one run does, drawn from its seed. */
import { createRandom, type Random } from '../../src/core/random.js';
import type { GatewayBounds } from '../../src/gateway/settings.js';
import { PREFIXES } from '../world/routes.js';
import {
  drawEntryFaults,
  drawLastVersion,
  drawPeerLinkFaults,
  drawReplacements,
  drawSchedule,
  drawService,
  drawStoreRestores,
  drawVersions,
  type ScheduledFault,
} from './schedule.js';

/** Bounds that the soak checks; milliseconds unless the name says otherwise. */
export interface SoakBounds extends GatewayBounds {
  /** Time without a fault after which a gateway is in touch. */
  readonly contactMs: number;
  /** Time after the end of the faults after which all serve. */
  readonly recoveryMs: number;
  /** A version may be taken for older than one that was seen in force for so long. */
  readonly rollbackSlackMs: number;
  /** A connection that ends sooner than this has not been read. */
  readonly lossSlackMs: number;
}

/** Figures of the users' deployments, except for the slack of the budget, which a run draws. */
const BOUNDS: Omit<SoakBounds, 'retrySlack'> = {
  drainMs: 3_000,
  graceMs: 6_000,
  configurationMs: 3_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  contactMs: 4_000,
  recoveryMs: 12_000,
  rollbackSlackMs: 250,
  lossSlackMs: 200,
};

/** Slack of the retry budget: the users' figure, and a small one that is used up sooner. */
const RETRY_SLACKS = [56, 20] as const;

/**
 * Connections of a replica: with the first, every gateway speaks to replicas itself; with the second, six
 * gateways or more go by way of feeders.
 */
const MAX_CONNECTIONS = [60, 8] as const;

/** Time in which all start, before the first fault, in milliseconds. */
const WARM_UP_MS = 7_000;

/** Time in which all must serve again after the recovery, in milliseconds. */
const FINAL_MS = 5_000;

/** What the command line says. */
export interface SoakOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly durationMs: number;
  readonly callersPerGateway: number;
}

/** A request that ends each replica that begins to run it. */
export interface PoisonRequest {
  /** Prefix of its route. */
  readonly prefix: string;
  /** Usual time between two of its callers, in milliseconds. */
  readonly intervalMs: number;
  /** Its callers leave after so long, in milliseconds; absent where they wait. */
  readonly leavesAfterMs?: number;
}

/** One run. */
export interface SoakPlan extends SoakOptions {
  readonly bounds: SoakBounds;
  readonly maxConnections: number;
  /** Gateways reach one another by way of proxies. */
  readonly usesPeerLinks: boolean;
  readonly warmUpMs: number;
  readonly finalMs: number;
  /** Faults, with times from the end of the warm-up. */
  readonly schedule: readonly ScheduledFault[];
  /** Requests that end replicas, which come all through the run. */
  readonly poisonRequests: readonly PoisonRequest[];
  /** A replica ends so long after it has begun to run one, in milliseconds. */
  readonly poisonCrashDelayMs: number;
  /** Replicas tell in their entries when they have started. */
  readonly publishesStartTimes: boolean;
  /** Planned work that goes on after the faults, with times from their end. */
  readonly plannedWork: readonly ScheduledFault[];
}

/** Streams of random numbers of one seed. */
export type RandomStream =
  | 'plan'
  | 'schedule'
  | 'callers'
  | 'operator'
  | 'versions'
  | 'peer-links'
  | 'calm'
  | 'last-version'
  | 'lethal'
  | 'store-returns'
  | 'entries';

/** A new one goes to the end: the seeds that have failed then keep the streams that they had. */
const STREAMS: readonly RandomStream[] = [
  'plan',
  'schedule',
  'callers',
  'operator',
  'versions',
  'peer-links',
  'calm',
  'last-version',
  'lethal',
  'store-returns',
  'entries',
];

/** Distance between the seeds of two runs, so that their streams differ. */
const STREAM_STRIDE = 1_000_003;

/** A stream of random numbers of its own for each purpose. */
export const streamOf = (seed: number, stream: RandomStream, index = 0) =>
  createRandom(seed * STREAM_STRIDE + STREAMS.indexOf(stream) * 10_007 + index);

/** Time after the faults in which replicas are replaced and versions come, in milliseconds. */
const PLANNED_WORK_MS = 9_000;

/** Time after the faults at which a gateway is stopped: it has been in touch by then, in milliseconds. */
const PLANNED_STOP_MS = BOUNDS.contactMs + 200;

const drawPlannedWork = (
  seed: number,
  gateways: number,
  endsWithoutVersions: boolean,
): readonly ScheduledFault[] => {
  const random = streamOf(seed, 'calm');
  const releases = drawReplacements(random, PLANNED_WORK_MS);
  const versions = drawVersions(random, PLANNED_WORK_MS);
  const stop = { type: 'stop-in-turn', gateways: [random.nextBelow(gateways)] } as const;
  return [
    ...releases,
    ...(endsWithoutVersions ? [] : versions),
    { atMs: PLANNED_STOP_MS, fault: stop },
  ];
};

/** Runs of smaller seeds have none: those that have failed stay what they were. */
const FIRST_POISON_SEED = 1_000;

const MAX_POISON_REQUESTS = 2;

/** Shortest and longest usual time between two callers of a lethal request, in milliseconds. */
const MIN_POISON_INTERVAL_MS = 300;
const MAX_POISON_INTERVAL_MS = 5_000;

const drawPoisonRequests = (seed: number): readonly PoisonRequest[] => {
  if (seed < FIRST_POISON_SEED) {
    return [];
  }
  const random = streamOf(seed, 'lethal');
  const prefixes = [PREFIXES.gather, PREFIXES.moving, PREFIXES.once];
  return Array.from({ length: 1 + random.nextBelow(MAX_POISON_REQUESTS) }, () => ({
    prefix: prefixes[random.nextBelow(prefixes.length)] ?? PREFIXES.gather,
    intervalMs:
      MIN_POISON_INTERVAL_MS + random.nextBelow(MAX_POISON_INTERVAL_MS - MIN_POISON_INTERVAL_MS),
  }));
};

/** In runs of smaller seeds the store never returns from a copy: those that have failed stay what they were. */
const FIRST_RESTORE_SEED = 2_000;

/**
 * In runs of smaller seeds replicas end at once and for all callers that wait, have a new identifier with each start, and
 * nobody else writes their entries: those that have failed stay what they were.
 */
const FIRST_ENTRY_SEED = 3_000;

/** Of these runs every second one has no returns: little can be judged of entries while the store is never calm. */
const hasStoreRestores = (seed: number): boolean =>
  seed >= FIRST_RESTORE_SEED && (seed < FIRST_ENTRY_SEED || seed % 2 === 0);

/** Longest time until a caller of a lethal request leaves, and until a replica ends under it, in milliseconds. */
const MAX_POISON_WAIT_MS = 200;
const MAX_POISON_RUN_MS = 400;

/** Lets the callers of half of the lethal requests leave, mostly before the replicas end. */
const drawAbandonment = (
  random: Random,
  requests: readonly PoisonRequest[],
): readonly PoisonRequest[] =>
  requests.map((request) =>
    random.nextBelow(2) === 0
      ? request
      : { ...request, leavesAfterMs: 10 + random.nextBelow(MAX_POISON_WAIT_MS) },
  );

/** Entries that are spoilt after the faults, once the store has been calm, and for how long, in milliseconds. */
const FINAL_SPOILT_ENTRIES = 3;
const FINAL_SPOILT_MS = 6_000;

const drawSpoiltEntries = (random: Random): readonly ScheduledFault[] =>
  Array.from({ length: FINAL_SPOILT_ENTRIES }, () => ({
    atMs: PLANNED_STOP_MS,
    fault: { type: 'entry-spoilt', service: drawService(random), forMs: FINAL_SPOILT_MS },
  }));

/** Draws a run. */
export const drawPlan = (options: SoakOptions): SoakPlan => {
  const random = streamOf(options.seed, 'plan');
  const retrySlack = RETRY_SLACKS[random.nextBelow(RETRY_SLACKS.length)] ?? RETRY_SLACKS[0];
  const maxConnections =
    MAX_CONNECTIONS[random.nextBelow(MAX_CONNECTIONS.length)] ?? MAX_CONNECTIONS[0];
  const faultsMs = options.durationMs - WARM_UP_MS - BOUNDS.recoveryMs - FINAL_MS;
  const usesPeerLinks = random.nextBelow(2) === 0;
  const { seed, gateways } = options;
  const lastVersion = streamOf(seed, 'last-version');
  // Half of the runs end with a version that comes during trouble, and have none after it.
  const endsWithoutVersions = lastVersion.nextBelow(2) === 0;
  const peerTroubles = usesPeerLinks
    ? drawPeerLinkFaults(streamOf(seed, 'peer-links'), faultsMs, gateways)
    : [];
  const hasEntryFaults = seed >= FIRST_ENTRY_SEED;
  const entries = streamOf(seed, 'entries');
  const poisonRequests = drawPoisonRequests(seed);
  return {
    ...options,
    bounds: { ...BOUNDS, retrySlack },
    maxConnections,
    usesPeerLinks,
    warmUpMs: WARM_UP_MS,
    finalMs: FINAL_MS,
    schedule: [
      ...drawSchedule(streamOf(seed, 'schedule'), faultsMs, gateways),
      ...drawVersions(streamOf(seed, 'versions'), faultsMs),
      ...peerTroubles,
      ...(endsWithoutVersions ? drawLastVersion(lastVersion, faultsMs) : []),
      ...(hasStoreRestores(seed)
        ? drawStoreRestores(streamOf(seed, 'store-returns'), faultsMs)
        : []),
      ...(hasEntryFaults ? drawEntryFaults(entries, faultsMs) : []),
    ],
    poisonRequests: hasEntryFaults ? drawAbandonment(entries, poisonRequests) : poisonRequests,
    poisonCrashDelayMs: hasEntryFaults ? entries.nextBelow(MAX_POISON_RUN_MS) : 0,
    publishesStartTimes: hasEntryFaults,
    plannedWork: [
      ...drawPlannedWork(seed, gateways, endsWithoutVersions),
      ...(hasEntryFaults ? drawSpoiltEntries(entries) : []),
    ],
  };
};
