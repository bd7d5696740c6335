/** A query in progress at its coordinator, with its legs and their attempts. */
import type { LegContext } from '../../protocol/leg-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { RouteRow } from '../../table/route-row.js';
import type { AttemptId, CallId, RequestId } from '../identifiers.js';
import type { AnswerMerge } from './merge-answers.js';
import type { RowObservation } from './observations.js';
import type { ReplicaTarget, ShardTarget } from './query-plan.js';
import type { MissingReason, QueryRequest } from './query-request.js';

/** Why an attempt is sent. */
export type AttemptPurpose = 'first' | 'hedge' | 'probe' | 'retry';

/** The coordinator's record of an attempt. */
export interface AttemptRecord {
  readonly attempt: AttemptId;
  readonly query: ActiveQuery;
  readonly leg: LegState;
  readonly target: ReplicaTarget;
  readonly feeder: NodeIdentity;
  readonly purpose: AttemptPurpose;
  /** Whether the feeder must send the attempt even if the replica is silent. */
  readonly insist: boolean;
  readonly sentAt: number;
  ended: boolean;
  /** Whether the feeder did not send the attempt because the replica was silent. */
  unsent: boolean;
}

/** One leg of a query: the part that one shard contributes. */
export interface LegState {
  /** Index of the shard in the plan. */
  readonly index: number;
  readonly shard: ShardTarget;
  readonly attempts: AttemptRecord[];
  /** Number of attempts that have not ended; probes of ejected replicas do not count. */
  outstanding: number;
  status: 'open' | 'answered' | 'missing';
  /** Why the leg is missing, or why its last attempt failed. */
  reason: MissingReason | undefined;
  /** Whether an attempt ended without proof that it did not run. */
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
  /** When its timer is due, which checks whether it can still be answered and ends it at its deadline. */
  checkAt: number;
  /** Number of shards that suffice for an early answer. */
  requiredShards: number;
  phase: 'claiming' | 'running';
  /** What the attempts of the current plan share; a restart replaces it together with the legs. */
  context: LegContext;
  legs: LegState[];
  merge: AnswerMerge;
  /** Legs whose next attempt is delayed until the retry timer fires. */
  legsAwaitingRetry: LegState[];
  contributed: number;
  /** Number of legs that are neither answered nor missing. */
  open: number;
  /** Whether so few legs are open that hedges for them may use the extra-load budget. */
  nearlyComplete: boolean;
  /** Whether the timer that checks for late legs is set. */
  hedgeArmed: boolean;
  attemptsMade: number;
  needed: number;
  sent: number;
  hedges: number;
  retries: number;
  restarts: number;
}
