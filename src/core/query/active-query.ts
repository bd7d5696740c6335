/** A query in progress at its coordinator, its legs and their attempts. */
import type { LegContext } from '../../protocol/leg-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { RouteRow } from '../../table/route-row.js';
import type { AttemptId, CallId, RequestId } from '../identifiers.js';
import type { AnswerMerge } from './merge-answers.js';
import type { RowObservation } from './observations.js';
import type { ReplicaTarget, ShardTarget } from './query-plan.js';
import type { MissingReason, QueryRequest } from './query-request.js';

/** Why an attempt is made. */
export type AttemptPurpose = 'first' | 'hedge' | 'probe' | 'retry';

/** An attempt as its coordinator knows it. */
export interface AttemptRecord {
  readonly attempt: AttemptId;
  readonly query: ActiveQuery;
  readonly leg: LegState;
  readonly target: ReplicaTarget;
  readonly feeder: NodeIdentity;
  readonly purpose: AttemptPurpose;
  /** The feeder is asked to send it even to a replica that seems silent. */
  readonly insist: boolean;
  readonly sentAt: number;
  ended: boolean;
  /** It was never sent, because the replica seemed silent to its feeder. */
  heldBack: boolean;
}

/** One leg: a shard that is to contribute. */
export interface LegState {
  /** Place of the shard in the plan. */
  readonly index: number;
  readonly shard: ShardTarget;
  readonly attempts: AttemptRecord[];
  /** Attempts that have not ended; probes of ejected replicas are not counted. */
  outstanding: number;
  status: 'open' | 'answered' | 'missing';
  /** Why the leg is missing, or why its last attempt failed. */
  reason: MissingReason | undefined;
  /** Whether an attempt ended such that it may have run. */
  mayHaveRun: boolean;
}

/** A query in progress. */
export interface ActiveQuery {
  readonly request: RequestId;
  readonly call: CallId;
  readonly row: RouteRow;
  readonly observed: RowObservation;
  readonly query: QueryRequest;
  readonly startedAt: number;
  readonly deadlineAt: number;
  /** Shards that suffice for an early answer. */
  wantedShards: number;
  phase: 'claiming' | 'running';
  /** The plan in progress; replaced as a whole when the query is restarted. */
  context: LegContext;
  legs: LegState[];
  merge: AnswerMerge;
  /** Legs that wait for a pause before their next attempt. */
  legsAwaitingRetry: LegState[];
  contributed: number;
  /** Legs neither answered nor missing. */
  open: number;
  /** Whether so few legs are open that the budget may be spent on them. */
  nearlyComplete: boolean;
  /** Whether a timer looks for late legs. */
  hedgeArmed: boolean;
  attemptsMade: number;
  needed: number;
  sent: number;
  hedges: number;
  retries: number;
  restarts: number;
}
