/** Messages between the coordinator of a query and the feeders of replicas, sent over TCP. */
import type { SnapshotVersion } from '../catalog/partner-index.js';
import type {
  AttemptId,
  PartnerId,
  ReplicaId,
  RequestId,
  RequestKind,
  RouteName,
  ShardId,
} from '../core/identifiers.js';

/** Fields that all legs of a query share. */
export interface LegContext {
  readonly request: RequestId;
  readonly partner: PartnerId;
  readonly route: RouteName;
  readonly kind: RequestKind;
  readonly snapshot: SnapshotVersion;
  readonly safeToRepeat: boolean;
  /** The caller's idempotency key; present for each request that is not safe to repeat. */
  readonly idempotencyKey?: string;
  /** Maximum number of items that each shard returns. */
  readonly maxItems: number;
  /** Parameters of the caller, a JSON value that is passed to the back end unchanged. */
  readonly payload: unknown;
}

/** One attempt of one leg at one replica. */
export interface LegAttempt {
  readonly attempt: AttemptId;
  readonly shard: ShardId;
  readonly replica: ReplicaId;
  /** Send the attempt even if the replica seems not to answer, as a probe or as the last resort. */
  readonly insist?: true;
}

/** One item of an answer, as a back end returns it. */
export interface AnswerItem {
  readonly id: string;
  /** Rank for `top`, amount for `sum`; ignored by `concatenate`. */
  readonly score: number;
  readonly value: unknown;
}

/** Load that a replica reports with an answer. */
export interface ReplicaLoad {
  readonly inFlight: number;
  readonly queued: number;
}

/** Why an attempt did not run at the replica. Each reason proves that it did not run. */
export type NotRunReason =
  | 'shedding'
  | 'leaving'
  | 'deadline-passed'
  | 'snapshot-gone'
  | 'unknown-shard'
  | 'connect-failed'
  | 'queue-full'
  | 'not-answering'
  | 'cancelled-before-sent'
  | 'unknown-replica';

/** Why the outcome of an attempt is unknown; it may have run. */
export type UnknownReason =
  'timed-out' | 'connection-lost' | 'bad-answer' | 'server-error' | 'cancelled' | 'peer-lost';

/** The outcome of an attempt. */
export type AttemptOutcome =
  | {
      readonly type: 'answered';
      readonly request: RequestId;
      readonly shard: ShardId;
      readonly snapshot: SnapshotVersion;
      readonly items: readonly AnswerItem[];
      readonly load?: ReplicaLoad;
      /** True if the answer reports that the replica is leaving. */
      readonly leaving?: boolean;
    }
  | { readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs?: number }
  | { readonly type: 'unknown'; readonly reason: UnknownReason };

/** Coordinator to feeder: attempts to send. */
export interface LegBatch {
  readonly type: 'leg-batch';
  readonly context: LegContext;
  /** Time left for the query when the message was sent, in milliseconds. */
  readonly remainingMs: number;
  /** The feeder may delay results to batch them; absent if each result must be sent at once. */
  readonly mayWait?: true;
  readonly legs: readonly LegAttempt[];
}

/** Coordinator to feeder: cancels attempts. */
export interface LegCancel {
  readonly type: 'leg-cancel';
  readonly attempts: readonly AttemptId[];
}

/** The result of a finished attempt. */
export interface LegResult {
  readonly attempt: AttemptId;
  readonly outcome: AttemptOutcome;
  /** Time that the attempt was queued at the feeder, in milliseconds. */
  readonly queuedMs: number;
  /** Time from sending the attempt to its outcome, in milliseconds; 0 if it was not sent. */
  readonly serviceMs: number;
  /**
   * Expected queueing time of a new attempt of the same partner at this replica, in milliseconds, when
   * the result was sent. Set by the feeder; absent in results that the driver reports.
   */
  readonly backlogMs?: number;
  /** Time that the feeder delayed the result to batch it, in milliseconds; absent if not delayed. */
  readonly heldMs?: number;
}

/** Feeder to coordinator: results of attempts. */
export interface LegResults {
  readonly type: 'leg-results';
  readonly results: readonly LegResult[];
}

/** Any message about legs. */
export type LegMessage = LegBatch | LegCancel | LegResults;
