/** What one run does, drawn from its seed. */
import { createRandom, type Random } from '../../src/core/random.js';
import type { GatewayBounds } from '../../src/gateway/settings.js';
import { PREFIXES } from '../world/routes.js';
import {
  drawEntryFaults,
  drawLastVersion,
  drawPeerTroubles,
  drawReleases,
  drawSchedule,
  drawService,
  drawStoreReturns,
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
export interface LethalRequest {
  /** Prefix of its route. */
  readonly prefix: string;
  /** Usual time between two of its callers, in milliseconds. */
  readonly everyMs: number;
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
  readonly lethalRequests: readonly LethalRequest[];
  /** A replica ends so long after it has begun to run one, in milliseconds. */
  readonly lethalAfterMs: number;
  /** Replicas tell in their entries when they have started. */
  readonly tellsStarts: boolean;
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
  endsQuietly: boolean,
): readonly ScheduledFault[] => {
  const random = streamOf(seed, 'calm');
  const releases = drawReleases(random, PLANNED_WORK_MS);
  const versions = drawVersions(random, PLANNED_WORK_MS);
  const stop = { type: 'stop-in-turn', gateways: [random.nextBelow(gateways)] } as const;
  return [...releases, ...(endsQuietly ? [] : versions), { atMs: PLANNED_STOP_MS, fault: stop }];
};

/** Runs of smaller seeds have none: those that have failed stay what they were. */
const FIRST_LETHAL_SEED = 1_000;

const MOST_LETHAL_REQUESTS = 2;

/** Shortest and longest usual time between two callers of a lethal request, in milliseconds. */
const LEAST_LETHAL_MS = 300;
const MOST_LETHAL_MS = 5_000;

const drawLethalRequests = (seed: number): readonly LethalRequest[] => {
  if (seed < FIRST_LETHAL_SEED) {
    return [];
  }
  const random = streamOf(seed, 'lethal');
  const prefixes = [PREFIXES.gather, PREFIXES.moving, PREFIXES.once];
  return Array.from({ length: 1 + random.nextBelow(MOST_LETHAL_REQUESTS) }, () => ({
    prefix: prefixes[random.nextBelow(prefixes.length)] ?? PREFIXES.gather,
    everyMs: LEAST_LETHAL_MS + random.nextBelow(MOST_LETHAL_MS - LEAST_LETHAL_MS),
  }));
};

/** In runs of smaller seeds the store never returns from a copy: those that have failed stay what they were. */
const FIRST_RETURN_SEED = 2_000;

/**
 * In runs of smaller seeds replicas end at once and for all callers that wait, have a new identifier with each start, and
 * nobody else writes their entries: those that have failed stay what they were.
 */
const FIRST_ENTRY_SEED = 3_000;

/** Of these runs every second one has no returns: little can be judged of entries while the store is never calm. */
const hasStoreReturns = (seed: number): boolean =>
  seed >= FIRST_RETURN_SEED && (seed < FIRST_ENTRY_SEED || seed % 2 === 0);

/** Longest time until a caller of a lethal request leaves, and until a replica ends under it, in milliseconds. */
const LONGEST_LETHAL_WAIT_MS = 200;
const LONGEST_LETHAL_RUN_MS = 400;

/** Lets the callers of half of the lethal requests leave, mostly before the replicas end. */
const drawLeaving = (
  random: Random,
  requests: readonly LethalRequest[],
): readonly LethalRequest[] =>
  requests.map((request) =>
    random.nextBelow(2) === 0
      ? request
      : { ...request, leavesAfterMs: 10 + random.nextBelow(LONGEST_LETHAL_WAIT_MS) },
  );

/** Entries that are spoilt after the faults, once the store has been calm, and for how long, in milliseconds. */
const CALM_SPOILT_ENTRIES = 3;
const CALM_SPOILT_MS = 6_000;

const drawSpoiltEntries = (random: Random): readonly ScheduledFault[] =>
  Array.from({ length: CALM_SPOILT_ENTRIES }, () => ({
    atMs: PLANNED_STOP_MS,
    fault: { type: 'entry-spoilt', service: drawService(random), forMs: CALM_SPOILT_MS },
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
  const endsQuietly = lastVersion.nextBelow(2) === 0;
  const peerTroubles = usesPeerLinks
    ? drawPeerTroubles(streamOf(seed, 'peer-links'), faultsMs, gateways)
    : [];
  const hasEntryFaults = seed >= FIRST_ENTRY_SEED;
  const entries = streamOf(seed, 'entries');
  const lethalRequests = drawLethalRequests(seed);
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
      ...(endsQuietly ? drawLastVersion(lastVersion, faultsMs) : []),
      ...(hasStoreReturns(seed) ? drawStoreReturns(streamOf(seed, 'store-returns'), faultsMs) : []),
      ...(hasEntryFaults ? drawEntryFaults(entries, faultsMs) : []),
    ],
    lethalRequests: hasEntryFaults ? drawLeaving(entries, lethalRequests) : lethalRequests,
    lethalAfterMs: hasEntryFaults ? entries.nextBelow(LONGEST_LETHAL_RUN_MS) : 0,
    tellsStarts: hasEntryFaults,
    plannedWork: [
      ...drawPlannedWork(seed, gateways, endsQuietly),
      ...(hasEntryFaults ? drawSpoiltEntries(entries) : []),
    ],
  };
};
