/** The state of a gateway; the reducer owns it and updates it in place. */
import { createRandom, type Random } from '../core/random.js';
import { createKeyConfirmation, type KeyConfirmation } from './authorization/confirmation-state.js';
import { createExtraAttempts, type ExtraAttempts } from './budget/extra-attempts.js';
import { RetryBudget } from './budget/retry-budget.js';
import { createShareRecords, type ShareRecords } from './budget/share-records.js';
import type { BrokenAttempt } from './crashes/broken-attempt.js';
import { type CrashState, createCrashState } from './crashes/crash-state.js';
import { UnawaitedRuns } from './crashes/unawaited-runs.js';
import type { RequestReceived } from './event.js';
import { createGatewayCounters, type GatewayCounters } from './metrics/gateway-counters.js';
import type { GatewayConfiguration } from './model/route.js';
import type { PeerRecord } from './model/peer-record.js';
import type { PeerRequestId } from './model/peer-request.js';
import type { AttemptId, AttemptProblem, CallId, UnreadableProblem } from './model/request.js';
import type { SubqueryId } from './model/subquery.js';
import { createDelayEstimate, type DelayEstimate } from './delay-estimate.js';
import type { FeederPlan } from './peers/feeder-plan.js';
import { PeerDirectory } from './peers/peer-directory.js';
import { createReadingState, type ReadingState } from './readers/reading-state.js';
import { createRestoreState, type RestoreState } from './returns/restore-state.js';
import { createQuotaState, type QuotaState } from './quotas/quota-state.js';
import { ReplicaDirectory } from './replicas/directory.js';
import type { ActiveAttempt, ActiveRequest } from './requests/request-state.js';
import { type AnswerDelays, createAnswerDelays } from './requests/answer-delays.js';
import { createLegPauseOutcomes, type LegPauseOutcomes } from './requests/leg-pause-outcomes.js';
import { createDelayHistogram, type DelayHistogram } from './requests/delay-histogram.js';
import type { PartArrivals } from './requests/part-arrivals.js';
import type { RouteLatency } from './requests/route-latency.js';
import { NOTHING_LOGGED, type UnreadableLog } from './requests/unreadable-log.js';
import type { RouteTable } from './routing/route-table.js';
import type { SplitCursor } from './routing/split-cursor.js';
import { createSchedulingState, type SchedulingState } from './scheduling/scheduling-state.js';
import type { GatewaySettings } from './settings.js';
import { type CollectionName, followedCollections } from './store/collection.js';
import type { KeysHash } from './tenants/keys-hash.js';
import type { TenantDirectory } from './tenants/tenant-directory.js';
import { type CollectionProgress, createCollectionProgress } from './store/follow-collection.js';
import type { StopSchedule } from './stop/stop-schedule.js';
import type { StoreEra } from './store/store-position.js';

/** Gateways that are assumed to run until others are known. */
const ASSUMED_GATEWAYS = 8;

/** Phase of the process between start and end. */
export type LifecyclePhase = 'starting' | 'serving' | 'stopping' | 'ended';

/** The configuration in force. */
export interface ConfigurationInForce {
  readonly configuration: GatewayConfiguration;
  readonly table: RouteTable;
  /** Services that gathers name as shards. */
  readonly shards: ReadonlySet<string>;
  /** Undefined if the configuration has no tenants. */
  readonly tenants: TenantDirectory | undefined;
  /** Identifies the keys of the tenants; undefined if the configuration has no tenants. */
  readonly keysHash: KeysHash | undefined;
  readonly since: number;
}

/** A feeder plan and the inputs that it was computed from. */
export interface CachedFeederPlan {
  readonly plan: FeederPlan;
  /** Generations of the peers and of the replicas at the time. */
  readonly peersGeneration: number;
  readonly replicasGeneration: number;
  readonly inForce: ConfigurationInForce | undefined;
}

/** Reachability of the store, as observed by this gateway. */
export interface StoreReachability {
  reachable: boolean;
  /** A probe is in progress, or its timer is set. */
  isProbed: boolean;
  /** When the store was last found to have become unreachable. */
  lostSince: number;
  /** When the store was last found to be reachable again. */
  regainedAt: number;
  /** Latest era given in an answer of the store; undefined before the first one. */
  era: StoreEra;
}

/** Recovery after a process pause: the state may be outdated until it has been confirmed. */
export interface PauseRecovery {
  /** When the process resumed. */
  readonly since: number;
  /** When a confirmation was requested; undefined before. */
  requestedAt: number | undefined;
}

/** Registration of this gateway in the store. */
export interface Registration {
  /** When the entry was last written. */
  writtenAt: number;
  /** The entry that was last written; undefined before. */
  written: PeerRecord | undefined;
  /** Earliest time at which the entry is written. */
  notBefore: number;
  /** Generation of the peers at the last complete list; undefined before the first one. */
  listedGeneration: number | undefined;
}

/** The whole state of a gateway. */
export interface GatewayState {
  settings: GatewaySettings;
  readonly random: Random;
  startedAt: number;
  /** Number of running gateways including this one, as far as known. */
  gateways: number;
  readonly peers: PeerDirectory;
  /** The list of gateways contains this gateway and no longer changes. */
  gatewaysSettled: boolean;
  readonly registration: Registration;
  /** The readers that this gateway follows, and its own followers. */
  readonly reading: ReadingState;
  /** The current feeder plan; undefined before the first use. */
  feeders: CachedFeederPlan | undefined;
  /** The plan for whose feeders connections were opened. */
  connectedPlan: FeederPlan | undefined;
  /** Delay until the first message of a feeder about a subquery. */
  readonly feederDelay: DelayEstimate;
  /** Delays of this process, for the margin before the objective of a gather. */
  readonly answerDelays: AnswerDelays;
  /** When the parts of callers' gathers arrive, by route. */
  readonly partArrivals: Map<string, PartArrivals>;
  /** Round trips to feeders, for the margin before their parts are due. */
  readonly feederRoundTrips: DelayHistogram;
  readonly subqueries: Map<SubqueryId, CallId>;
  nextSubquery: SubqueryId;
  /** Identifier of the next request to another gateway. */
  nextPeerRequest: PeerRequestId;
  /** How recent the known API keys are. */
  readonly keyConfirmation: KeyConfirmation;
  readonly store: StoreReachability;
  /** Unconfirmed objects and recent departures, for restores of the store from a backup. */
  readonly storeRestores: RestoreState;
  phase: LifecyclePhase;
  /** Schedule of the stop; undefined unless one was requested. */
  stop: StopSchedule | undefined;
  /** No further connections of callers are accepted, since the process is about to end. */
  isCallerPortClosed: boolean;
  /** Readiness that was last reported to the load balancer. */
  ready: boolean;
  /** Whether this one last reported to other gateways that it serves them. */
  servesPeers: boolean;
  /** Set from the end of a process pause until the state has been confirmed. */
  pauseRecovery: PauseRecovery | undefined;
  inForce: ConfigurationInForce | undefined;
  readonly collections: Readonly<Record<CollectionName, CollectionProgress>>;
  /** All replicas have been listed once. */
  replicasListed: boolean;
  readonly replicas: ReplicaDirectory;
  /** Zones whose replicas get no requests. */
  readonly evacuatedZones: Set<string>;
  /** Requests that are held until the gateway can serve. */
  readonly held: Map<CallId, RequestReceived>;
  readonly requests: Map<CallId, ActiveRequest>;
  readonly attempts: Map<AttemptId, ActiveAttempt>;
  nextAttempt: AttemptId;
  /** Attempts whose connection broke, by the replica that is being checked. */
  readonly brokenAttempts: Map<string, BrokenAttempt[]>;
  /** Runs that no request waits for any more and that may still crash their replicas. */
  readonly unawaitedRuns: UnawaitedRuns;
  /** Requests that have crashed replicas. */
  readonly crashes: CrashState;
  readonly scheduling: SchedulingState;
  readonly budgets: Map<string, RetryBudget>;
  /** Shares of the retry budgets. */
  readonly budgetShares: ShareRecords;
  /** Use of the retry budgets that has not been logged. */
  readonly extraAttempts: ExtraAttempts;
  readonly latencies: Map<string, RouteLatency>;
  /** Recent log lines about unreadable requests, by problem. */
  readonly unreadableLogs: Map<UnreadableProblem, UnreadableLog>;
  /** Recent log line about ignored requests. */
  ignoredRequestLog: UnreadableLog;
  /** Recent log lines about unreadable answers, by problem. */
  readonly unreadableAnswerLogs: Map<AttemptProblem, UnreadableLog>;
  /** Outcomes of the pauses of legs, by service. */
  readonly legPauseOutcomes: Map<string, LegPauseOutcomes>;
  readonly splits: Map<string, SplitCursor>;
  /** Limits of tenants. */
  readonly quotas: QuotaState;
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
    written: undefined,
    notBefore: Number.NEGATIVE_INFINITY,
    listedGeneration: undefined,
  },
  reading: createReadingState(),
  feeders: undefined,
  connectedPlan: undefined,
  feederDelay: createDelayEstimate(),
  answerDelays: createAnswerDelays(),
  partArrivals: new Map(),
  feederRoundTrips: createDelayHistogram(),
  subqueries: new Map(),
  nextSubquery: 1,
  nextPeerRequest: 1,
  keyConfirmation: createKeyConfirmation(),
  store: {
    reachable: true,
    isProbed: false,
    lostSince: Number.NEGATIVE_INFINITY,
    regainedAt: Number.NEGATIVE_INFINITY,
    era: undefined,
  },
  storeRestores: createRestoreState(),
  phase: 'starting',
  stop: undefined,
  isCallerPortClosed: false,
  ready: false,
  servesPeers: false,
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
  brokenAttempts: new Map(),
  unawaitedRuns: new UnawaitedRuns(),
  crashes: createCrashState(),
  scheduling: createSchedulingState(),
  budgets: new Map(),
  budgetShares: createShareRecords(),
  extraAttempts: createExtraAttempts(),
  latencies: new Map(),
  unreadableLogs: new Map(),
  ignoredRequestLog: NOTHING_LOGGED,
  unreadableAnswerLogs: new Map(),
  legPauseOutcomes: new Map(),
  splits: new Map(),
  quotas: createQuotaState(),
  counters: createGatewayCounters(),
});

/** Names of the collections that this gateway follows. */
export const collectionsOf = ({ settings }: GatewayState): readonly CollectionName[] =>
  followedCollections(settings.bounds);

const hasEvacuationList = ({ settings, collections }: GatewayState): boolean =>
  settings.bounds.evacuationMs === undefined || collections.evacuations.isListed;

/**
 * Whether this gateway can serve: it knows a configuration, the replicas and the evacuated zones, and is not recovering from
 * a process pause.
 */
export const canServe = (state: GatewayState): boolean =>
  state.inForce !== undefined &&
  state.replicasListed &&
  hasEvacuationList(state) &&
  state.pauseRecovery === undefined;

/** The retry budget of a service; created on first use. */
export const budgetOf = (state: GatewayState, service: string): RetryBudget => {
  const known = state.budgets.get(service);
  if (known !== undefined) {
    return known;
  }
  const budget = new RetryBudget(state.settings.bounds.retryWindowMs);
  state.budgets.set(service, budget);
  return budget;
};

/** The outcomes of the pauses of legs for a service; created on first use. */
export const legPauseOutcomesOf = (state: GatewayState, service: string): LegPauseOutcomes => {
  const known = state.legPauseOutcomes.get(service) ?? createLegPauseOutcomes();
  state.legPauseOutcomes.set(service, known);
  return known;
};
