/** State of the queries that this node coordinates. */
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { ConfigurationInForce } from '../configuration/state.js';
import type { AttemptId, CallId, RequestId } from '../identifiers.js';
import type { ActiveQuery, AttemptRecord } from './active-query.js';
import { createObservations, type Observations } from './observations.js';
import { PeerObservations } from './peer-observation.js';
import type { QueryPolicy } from './query-policy.js';
import type { SnapshotTargets } from './query-plan.js';

/** Cache of shards and replicas by row, derived from one configuration in force. */
export interface PlanCache {
  inForce: ConfigurationInForce | undefined;
  /** Time at which the targets expire. */
  validUntil: number;
  readonly targets: Map<string, SnapshotTargets | undefined>;
}

/** Cache of feeder candidates by endpoint, derived from one membership view. */
export interface FeederCache {
  viewVersion: number;
  readonly ranked: Map<string, readonly NodeIdentity[]>;
}

/** Limits the rate of log lines about queries that end without required shards. */
export interface IncompleteAnswerLog {
  /** Time of the last line. */
  loggedAt: number;
  /** Number of incomplete answers since then. */
  unlogged: number;
}

/** Queries of this coordinator, with its observations and caches. */
export interface QueryState {
  readonly policy: QueryPolicy;
  /** Prefix of all identifiers that this process assigns; differs after a restart. */
  readonly identifierPrefix: string;
  /** Identifiers assigned since the start, to accepted and refused requests; numbers the next one. */
  accepted: number;
  /** Number of queries without an outcome. */
  inProgress: number;
  readonly queries: Map<RequestId, ActiveQuery>;
  readonly requestOfCall: Map<CallId, RequestId>;
  readonly attempts: Map<AttemptId, AttemptRecord>;
  readonly observations: Observations;
  readonly planCache: PlanCache;
  readonly feederCache: FeederCache;
  /** Observations of peers as feeders of this node's legs. */
  readonly peers: PeerObservations;
  readonly incompleteAnswers: IncompleteAnswerLog;
}

const IDENTIFIER_RADIX = 36;

/** Creates the state of a node that has not accepted a query. */
export const createQueryState = (self: NodeIdentity, policy: QueryPolicy): QueryState => ({
  policy,
  identifierPrefix: `${self.node}~${self.incarnation.toString(IDENTIFIER_RADIX)}~`,
  accepted: 0,
  inProgress: 0,
  queries: new Map(),
  requestOfCall: new Map(),
  attempts: new Map(),
  observations: createObservations(),
  planCache: { inForce: undefined, validUntil: 0, targets: new Map() },
  feederCache: { viewVersion: 0, ranked: new Map() },
  peers: new PeerObservations(),
  incompleteAnswers: { loggedAt: Number.NEGATIVE_INFINITY, unlogged: 0 },
});
