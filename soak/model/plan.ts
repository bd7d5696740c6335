/** The plan of one run, drawn from its seed. */
import type { Random } from '../../src/core/random.js';
import type { GatewayBounds } from '../../src/gateway/settings.js';
import { PREFIXES } from '../world/routes.js';
import { FEW_SLOTS, REPLICA_SLOTS } from '../world/topology.js';
import { drawBrokenOffAnswers, FIRST_BROKEN_OFF_SEED } from './broken-off-answers.js';
import {
  addConcurrentCallers,
  type ConcurrentCallersPlan,
  FIRST_CONCURRENT_SEED,
} from './concurrent-callers.js';
import { drawFailingServices } from './failing-services.js';
import { streamOf } from './random-streams.js';
import {
  drawEndlessAnswers,
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
import { addTenants, FIRST_TENANT_SEED } from './tenant-plan.js';

/** Bounds checked by the soak; times are in milliseconds. */
export interface SoakBounds extends GatewayBounds {
  /** Time without a fault after which a gateway counts as in contact. */
  readonly contactMs: number;
  /** Time after the end of the faults within which all gateways serve again. */
  readonly recoveryMs: number;
  /** Time after a version was seen in force during which evidence of an older one is no rollback. */
  readonly rollbackSlackMs: number;
  /** A request whose connection closes sooner than this may not have been read. */
  readonly lossSlackMs: number;
}

/** Bounds of the users' deployments, except for the slack of the retry budget, which each run draws. */
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

/** Slacks of the retry budget: that of the users' deployments, and a smaller one that is exhausted sooner. */
const RETRY_SLACKS = [56, 20] as const;

/**
 * Connection limits of a replica: with the first, every gateway connects to replicas itself; with the second,
 * six or more gateways use feeders.
 */
const MAX_CONNECTIONS = [60, 8] as const;

/** Time for the start of all processes before the first fault, in milliseconds. */
const WARM_UP_MS = 7_000;

/** Time after the recovery in which all gateways must serve, in milliseconds. */
const FINAL_MS = 5_000;

/** Options of the command line. */
export interface SoakOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly durationMs: number;
  readonly callersPerGateway: number;
}

/** A request that crashes every replica which runs it. */
export interface PoisonRequest {
  /** Prefix of its route. */
  readonly prefix: string;
  /** Mean time between two of its callers, in milliseconds. */
  readonly intervalMs: number;
  /** Time after which its callers close the connection, in milliseconds; absent if they wait for the answer. */
  readonly leavesAfterMs?: number;
}

/** Plan of one run. */
export interface SoakPlan extends SoakOptions {
  readonly bounds: SoakBounds;
  readonly maxConnections: number;
  /** Whether gateways connect to one another through proxies. */
  readonly usesPeerLinks: boolean;
  readonly warmUpMs: number;
  readonly finalMs: number;
  /** Faults; times are relative to the end of the warm-up. */
  readonly schedule: readonly ScheduledFault[];
  /** Poison requests, sent throughout the run. */
  readonly poisonRequests: readonly PoisonRequest[];
  /** Time from the start of a poison request at a replica to its crash, in milliseconds. */
  readonly poisonCrashDelayMs: number;
  /** Whether replicas publish their start time in their entries. */
  readonly publishesStartTimes: boolean;
  /** Whether the configuration has tenants. */
  readonly hasTenants: boolean;
  /** Whether each zone is a region of its own. */
  readonly hasRegionPerZone: boolean;
  /** Number of requests that a replica of a shard runs concurrently. */
  readonly shardSlots: number;
  /** Whether some callers send long requests over connections that rest between them. */
  readonly hasLongRequests: boolean;
  /** Whether services fail while gateways are killed, and some callers send requests in quick succession. */
  readonly hasFailingServices: boolean;
  /** Callers that send requests while earlier ones are in progress on their connection; absent if there are none. */
  readonly concurrentCallers?: ConcurrentCallersPlan;
  /** Planned work after the faults; times are relative to their end. */
  readonly plannedWork: readonly ScheduledFault[];
}

/** Time after the faults during which replicas are replaced and versions are written, in milliseconds. */
const PLANNED_WORK_MS = 9_000;

/** Time from the end of the faults to the stop of a gateway, which is in contact by then, in milliseconds. */
const PLANNED_STOP_MS = BOUNDS.contactMs + 200;

/** Runs with smaller seeds have no long requests, so that earlier regression seeds are unchanged. */
const FIRST_LONG_SEED = 7_000;

/** Runs with smaller seeds have no answers without end, so that earlier regression seeds are unchanged. */
const FIRST_ENDLESS_SEED = 8_000;

/** Runs with smaller seeds have no failing services, so that earlier regression seeds are unchanged. */
const FIRST_FAILING_SEED = 9_000;

/** Time between two planned stops that overlap, in milliseconds. */
const OVERLAPPING_STOP_MS = 300;

const stopOf = (gateway: number, atMs: number): ScheduledFault => ({
  atMs,
  fault: { type: 'stop-in-turn', gateways: [gateway] },
});

const drawPlannedWork = (
  seed: number,
  gateways: number,
  endsWithoutVersions: boolean,
): readonly ScheduledFault[] => {
  const random = streamOf(seed, 'calm');
  const releases = drawReplacements(random, PLANNED_WORK_MS);
  const versions = drawVersions(random, PLANNED_WORK_MS);
  const stopped = random.nextBelow(gateways);
  return [
    ...releases,
    ...(endsWithoutVersions ? [] : versions),
    stopOf(stopped, PLANNED_STOP_MS),
    ...(seed >= FIRST_LONG_SEED && gateways > 1
      ? [stopOf((stopped + 1) % gateways, PLANNED_STOP_MS + OVERLAPPING_STOP_MS)]
      : []),
  ];
};

/** Runs with smaller seeds have no poison requests, so that earlier regression seeds are unchanged. */
const FIRST_POISON_SEED = 1_000;

const MAX_POISON_REQUESTS = 2;

/** Minimum and maximum mean time between two callers of a poison request, in milliseconds. */
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

/** Runs with smaller seeds have no restores of the store, so that earlier regression seeds are unchanged. */
const FIRST_RESTORE_SEED = 2_000;

/**
 * In runs with smaller seeds poison requests crash replicas at once and their callers wait, each replica has a new
 * identifier, and no entry is overwritten, so that earlier regression seeds are unchanged.
 */
const FIRST_ENTRY_SEED = 3_000;

/** Runs with smaller seeds have one region and replicas with room, so that earlier regression seeds are unchanged. */
const FIRST_REGIONS_SEED = 6_000;

/** Half of the runs with entry faults have no restores: few entries can be checked while the store is disturbed. */
const hasStoreRestores = (seed: number): boolean =>
  seed >= FIRST_RESTORE_SEED && (seed < FIRST_ENTRY_SEED || seed % 2 === 0);

/** Maximum time until a caller of a poison request leaves, and until a replica crashes, in milliseconds. */
const MAX_POISON_WAIT_MS = 200;
const MAX_POISON_RUN_MS = 400;

/** Makes the callers of about half of the poison requests leave, mostly before the replica crashes. */
const drawAbandonment = (
  random: Random,
  requests: readonly PoisonRequest[],
): readonly PoisonRequest[] =>
  requests.map((request) =>
    random.nextBelow(2) === 0
      ? request
      : { ...request, leavesAfterMs: 10 + random.nextBelow(MAX_POISON_WAIT_MS) },
  );

/** Number of entries overwritten after the faults, once the store is undisturbed, and for how long, in milliseconds. */
const FINAL_SPOILT_ENTRIES = 3;
const FINAL_SPOILT_MS = 6_000;

const drawSpoiltEntries = (random: Random): readonly ScheduledFault[] =>
  Array.from({ length: FINAL_SPOILT_ENTRIES }, () => ({
    atMs: PLANNED_STOP_MS,
    fault: { type: 'entry-spoilt', service: drawService(random), forMs: FINAL_SPOILT_MS },
  }));

const faultsMsOf = ({ durationMs }: SoakOptions): number =>
  durationMs - WARM_UP_MS - BOUNDS.recoveryMs - FINAL_MS;

const drawPlanWithoutTenants = (options: SoakOptions): SoakPlan => {
  const random = streamOf(options.seed, 'plan');
  const retrySlack = RETRY_SLACKS[random.nextBelow(RETRY_SLACKS.length)] ?? RETRY_SLACKS[0];
  const maxConnections =
    MAX_CONNECTIONS[random.nextBelow(MAX_CONNECTIONS.length)] ?? MAX_CONNECTIONS[0];
  const faultsMs = faultsMsOf(options);
  const usesPeerLinks = random.nextBelow(2) === 0;
  const { seed, gateways } = options;
  const lastVersion = streamOf(seed, 'last-version');
  // Half of the runs write their last version during a fault of the store.
  const endsWithoutVersions = lastVersion.nextBelow(2) === 0;
  const peerFaults = usesPeerLinks
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
      ...peerFaults,
      ...(endsWithoutVersions ? drawLastVersion(lastVersion, faultsMs) : []),
      ...(hasStoreRestores(seed)
        ? drawStoreRestores(streamOf(seed, 'store-returns'), faultsMs)
        : []),
      ...(hasEntryFaults ? drawEntryFaults(entries, faultsMs) : []),
      ...(seed >= FIRST_ENDLESS_SEED
        ? drawEndlessAnswers(streamOf(seed, 'endless-answers'), faultsMs)
        : []),
      ...(seed >= FIRST_FAILING_SEED
        ? drawFailingServices(streamOf(seed, 'failing-services'), faultsMs, gateways)
        : []),
      ...(seed >= FIRST_BROKEN_OFF_SEED
        ? drawBrokenOffAnswers(streamOf(seed, 'broken-off-answers'), faultsMs)
        : []),
    ],
    poisonRequests: hasEntryFaults ? drawAbandonment(entries, poisonRequests) : poisonRequests,
    poisonCrashDelayMs: hasEntryFaults ? entries.nextBelow(MAX_POISON_RUN_MS) : 0,
    publishesStartTimes: hasEntryFaults,
    hasTenants: false,
    hasRegionPerZone: seed >= FIRST_REGIONS_SEED,
    shardSlots: seed >= FIRST_REGIONS_SEED ? FEW_SLOTS : REPLICA_SLOTS,
    hasLongRequests: seed >= FIRST_LONG_SEED,
    hasFailingServices: seed >= FIRST_FAILING_SEED,
    plannedWork: [
      ...drawPlannedWork(seed, gateways, endsWithoutVersions),
      ...(hasEntryFaults ? drawSpoiltEntries(entries) : []),
    ],
  };
};

const drawPlanWithoutConcurrentCallers = (options: SoakOptions): SoakPlan => {
  const plan = drawPlanWithoutTenants(options);
  const { seed } = options;
  return seed >= FIRST_TENANT_SEED
    ? addTenants(plan, streamOf(seed, 'tenants'), faultsMsOf(options))
    : plan;
};

/** Draws the plan of a run. */
export const drawPlan = (options: SoakOptions): SoakPlan => {
  const plan = drawPlanWithoutConcurrentCallers(options);
  const { seed } = options;
  return seed >= FIRST_CONCURRENT_SEED
    ? addConcurrentCallers(plan, streamOf(seed, 'concurrent-callers'), faultsMsOf(options))
    : plan;
};
