/** Requests and replies of a replica stand-in, independent of the transport. */
import type { SnapshotVersion } from '../../catalog/partner-index.js';
import type { AnswerItem, ReplicaLoad } from '../../protocol/leg-messages.js';

/** Body of `POST /v1/leg`: a request for one shard. */
export interface LegRequest {
  readonly request: string;
  readonly attempt: string;
  readonly partner: string;
  readonly route: string;
  readonly kind: string;
  readonly shard: string;
  readonly snapshot: SnapshotVersion;
  readonly maxItems: number;
  readonly safeToRepeat: boolean;
  readonly idempotencyKey?: string;
  readonly payload: unknown;
}

/** Body of a reply to `POST /v1/leg` with status 200. */
export interface LegAnswer {
  readonly request: string;
  readonly attempt: string;
  readonly shard: string;
  readonly snapshot: SnapshotVersion;
  readonly items: readonly AnswerItem[];
  readonly load: ReplicaLoad;
}

/** Why a replica refuses a request without running it. */
export type ReplicaRefusalReason =
  'shedding' | 'leaving' | 'deadline-passed' | 'snapshot-gone' | 'unknown-shard';

/** How the body of an answer is damaged in transit. */
export type AnswerDamage = 'none' | 'truncated' | 'oversized';

/** Reply to a request, or how the request ended without one. */
export type ReplicaReply =
  | {
      readonly type: 'answered';
      readonly ticket: number;
      readonly answer: LegAnswer;
      readonly damage: AnswerDamage;
      /** Whether the answer announces that the replica is leaving. */
      readonly leaving: boolean;
    }
  | {
      readonly type: 'refused';
      readonly ticket: number;
      readonly reason: ReplicaRefusalReason;
      readonly retryAfterMs?: number;
    }
  | { readonly type: 'cancelled'; readonly ticket: number }
  | { readonly type: 'connection-lost'; readonly ticket: number };

/** A request that ran: it occupied a slot, even if it did not finish. */
export interface ExecutionRecord {
  readonly request: string;
  readonly attempt: string;
  readonly shard: string;
  readonly idempotencyKey?: string;
  readonly safeToRepeat: boolean;
  /** False while the request runs; stays false if it was cancelled or lost. */
  finished: boolean;
}
