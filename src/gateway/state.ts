/** The state of a gateway; the reducer owns it and updates it in place. */
import { createRandom, type Random } from '../core/random.js';
import { RetryBudget } from './budget/retry-budget.js';
import type { BrokenAttempt } from './crashes/broken-attempt.js';
import { type CrashState, createCrashState } from './crashes/crash-state.js';
import { UnawaitedRuns } from './crashes/unawaited-runs.js';
import type { RequestReceived } from './event.js';
import { createGatewayCounters, type GatewayCounters } from './metrics/gateway-counters.js';
import type { GatewayConfiguration } from './model/route.js';
import type { AttemptId, CallId, UnreadableProblem } from './model/request.js';
import type { SubqueryId } from './model/subquery.js';
import { createDelayEstimate, type DelayEstimate } from './delay-estimate.js';
import type { FeederPlan } from './peers/feeder-plan.js';
import { PeerDirectory } from './peers/peer-directory.js';
import { createReadingState, type ReadingState } from './readers/reading-state.js';
import { createRestoreState, type RestoreState } from './returns/restore-state.js';
import { ReplicaDirectory } from './replicas/directory.js';
import type { ActiveAttempt, ActiveRequest } from './requests/request-state.js';
import { createPauseOutcomes, type PauseOutcomes } from './requests/pause-outcomes.js';
import type { RouteLatency } from './requests/route-latency.js';
import type { UnreadableLog } from './requests/unreadable-log.js';
import type { RouteTable } from './routing/route-table.js';
import type { SplitCursor } from './routing/split-cursor.js';
import type { GatewaySettings } from './settings.js';
import { type CollectionName, followedCollections } from './store/collection.js';
import { type CollectionProgress, createCollectionProgress } from './store/follow-collection.js';
import type { StoreEra } from './store/store-position.js';

/** Gateways that are assumed to run until others are known. */
const ASSUMED_GATEWAYS = 8;

/** Where the process stands between start and end. */
export type LifecyclePhase = 'starting' | 'serving' | 'stopping' | 'ended';

/** The configuration in force. */
export interface ConfigurationInForce {
  readonly configuration: GatewayConfiguration;
  readonly table: RouteTable;
  /** Services that gathers name as shards. */
  readonly shards: ReadonlySet<string>;
  readonly since: number;
}

/** A plan of feeders and what it was made from. */
export interface KnownFeederPlan {
  readonly plan: FeederPlan;
  /** The generations of the peers and of the replicas. */
  readonly peersGeneration: number;
  readonly replicasGeneration: number;
  readonly inForce: ConfigurationInForce | undefined;
}

/** Whether the store can be reached, as this gateway knows it. */
export interface StoreReachability {
  reachable: boolean;
  /** A probe is under way, or its timer is set. */
  isProbed: boolean;
  /** When the store was first found out of reach. */
  lostSince: number;
  /** When it was found again. */
  regainedAt: number;
  /** The latest era that an answer of the store has named; undefined before one has. */
  era: StoreEra;
}

/** The process stood still: what it knows may be out of date until that has been confirmed. */
export interface PauseRecovery {
  /** When it went on. */
  readonly since: number;
  /** When it asked for what confirms it; undefined before. */
  requestedAt: number | undefined;
}

/** This gateway's own entry among the gateways. */
export interface Registration {
  /** When it was last written. */
  writtenAt: number;
  /** It is not written before. */
  notBefore: number;
  /** The generation of the peers when their list was last complete; undefined before the first list. */
  listedGeneration: number | undefined;
}

/** Everything that a gateway knows. */
export interface GatewayState {
  settings: GatewaySettings;
  readonly random: Random;
  startedAt: number;
  /** Gateways that run, this one among them, as far as is known. */
  gateways: number;
  readonly peers: PeerDirectory;
  /** The list of gateways is complete, as far as this gateway can tell. */
  gatewaysSettled: boolean;
  readonly registration: Registration;
  /** Who reads the store for this gateway, and for whom it reads. */
  readonly reading: ReadingState;
  /** The plan of feeders, with what it was made from. */
  feeders: KnownFeederPlan | undefined;
  /** The plan to whose feeders connections were opened. */
  connectedPlan: FeederPlan | undefined;
  /** After what time feeders say their first word. */
  readonly feederDelay: DelayEstimate;
  readonly subqueries: Map<SubqueryId, CallId>;
  nextSubquery: SubqueryId;
  readonly store: StoreReachability;
  /** What is remembered for returns of the store from a copy. */
  readonly returns: RestoreState;
  phase: LifecyclePhase;
  /** When the request to stop came. */
  stoppingSince: number;
  /** What the load balancer was told last. */
  ready: boolean;
  /** Undefined unless the process stood still, and what it knows has not been confirmed since. */
  pauseRecovery: PauseRecovery | undefined;
  inForce: ConfigurationInForce | undefined;
  readonly collections: Readonly<Record<CollectionName, CollectionProgress>>;
  /** All replicas have been listed once. */
  replicasListed: boolean;
  readonly replicas: ReplicaDirectory;
  /** Zones whose replicas get no requests. */
  readonly evacuatedZones: Set<string>;
  /** Requests that wait for the first configuration. */
  readonly held: Map<CallId, RequestReceived>;
  readonly requests: Map<CallId, ActiveRequest>;
  readonly attempts: Map<AttemptId, ActiveAttempt>;
  nextAttempt: AttemptId;
  /** Runs that broke off, by the replica that is being looked at. */
  readonly brokenRuns: Map<string, BrokenAttempt[]>;
  /** Runs that nobody waits for any more, and under which replicas may still end. */
  readonly unawaitedRuns: UnawaitedRuns;
  /** Requests under which replicas have ended. */
  readonly crashes: CrashState;
  readonly budgets: Map<string, RetryBudget>;
  readonly latencies: Map<string, RouteLatency>;
  /** What was logged lately of what callers sent that is no request. */
  readonly unreadableLogs: Map<UnreadableProblem, UnreadableLog>;
  /** How waits for a replica have ended, by service. */
  readonly pauseOutcomes: Map<string, PauseOutcomes>;
  readonly splits: Map<string, SplitCursor>;
  readonly counters: GatewayCounters;
}

/** Creates the state of a gateway that has just started. */
export const createGatewayState = (settings: GatewaySettings, seed: number): GatewayState => ({
  settings,
  random: createRandom(seed),
  startedAt: 0,
  gateways: ASSUMED_GATEWAYS,
  peers: new PeerDirectory(),
  gatewaysSettled: false,
  registration: {
    writtenAt: Number.NEGATIVE_INFINITY,
    notBefore: Number.NEGATIVE_INFINITY,
    listedGeneration: undefined,
  },
  reading: createReadingState(),
  feeders: undefined,
  connectedPlan: undefined,
  feederDelay: createDelayEstimate(),
  subqueries: new Map(),
  nextSubquery: 1,
  store: {
    reachable: true,
    isProbed: false,
    lostSince: Number.NEGATIVE_INFINITY,
    regainedAt: Number.NEGATIVE_INFINITY,
    era: undefined,
  },
  returns: createRestoreState(),
  phase: 'starting',
  stoppingSince: Number.POSITIVE_INFINITY,
  ready: false,
  pauseRecovery: undefined,
  inForce: undefined,
  collections: {
    configuration: createCollectionProgress('configuration', settings.bounds),
    replicas: createCollectionProgress('replicas', settings.bounds),
    gateways: createCollectionProgress('gateways', settings.bounds),
    evacuations: createCollectionProgress('evacuations', settings.bounds),
  },
  replicasListed: false,
  replicas: new ReplicaDirectory(),
  evacuatedZones: new Set(),
  held: new Map(),
  requests: new Map(),
  attempts: new Map(),
  nextAttempt: 1,
  brokenRuns: new Map(),
  unawaitedRuns: new UnawaitedRuns(),
  crashes: createCrashState(),
  budgets: new Map(),
  latencies: new Map(),
  unreadableLogs: new Map(),
  pauseOutcomes: new Map(),
  splits: new Map(),
  counters: createGatewayCounters(),
});

/** Names of the collections that this gateway follows. */
export const collectionsOf = ({ settings }: GatewayState): readonly CollectionName[] =>
  followedCollections(settings.bounds);

const hasEvacuationList = ({ settings, collections }: GatewayState): boolean =>
  settings.bounds.evacuationMs === undefined || collections.evacuations.isListed;

/**
 * Whether this gateway knows a configuration, the replicas and which of them may get requests, so that it
 * can serve.
 */
export const canServe = (state: GatewayState): boolean =>
  state.inForce !== undefined &&
  state.replicasListed &&
  hasEvacuationList(state) &&
  state.pauseRecovery === undefined;

/** The retry budget of a service. */
export const budgetOf = (state: GatewayState, service: string): RetryBudget => {
  const known = state.budgets.get(service);
  if (known !== undefined) {
    return known;
  }
  const budget = new RetryBudget(state.settings.bounds.retryWindowMs);
  state.budgets.set(service, budget);
  return budget;
};

/** How waits for a replica of a service have ended. */
export const pauseOutcomesOf = (state: GatewayState, service: string): PauseOutcomes => {
  const known = state.pauseOutcomes.get(service) ?? createPauseOutcomes();
  state.pauseOutcomes.set(service, known);
  return known;
};
