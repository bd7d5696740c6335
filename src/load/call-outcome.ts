/** Calls and their outcomes, as the load generator checks and records them. */
import type { SnapshotVersion } from '../catalog/partner-index.js';
import type { QueryCost } from '../core/query/query-request.js';
import type { WorkloadItem } from '../deployments/deployment.js';
import type { AnswerItem } from '../protocol/leg-messages.js';

/** A shard that an answer lists as missing. */
export interface MissingInAnswer {
  readonly shard: string;
  readonly reason: string;
}

/** A whole or partial answer, as the caller receives it. */
export interface CallAnswer {
  readonly type: 'answered';
  readonly request: string;
  readonly snapshot: SnapshotVersion;
  readonly coverage: number;
  readonly shards: number;
  readonly contributed: number;
  readonly missing: readonly MissingInAnswer[];
  readonly items: readonly AnswerItem[];
  readonly cost: QueryCost;
}

/** The outcome of a call. */
export type CallOutcome =
  | CallAnswer
  | { readonly type: 'not-run'; readonly request?: string; readonly reason: string }
  | { readonly type: 'unknown'; readonly request?: string; readonly reason: string }
  /** The connection failed, the call timed out, or the response had no outcome. */
  | { readonly type: 'failed'; readonly problem: string };

/** One call with everything needed to check its outcome. */
export interface Call {
  readonly item: WorkloadItem;
  /** Returned in each item of the answer; unique within a run. */
  readonly nonce: string;
  /** Selects the shard, for rows with fan-out `key`. */
  readonly key?: string;
  readonly idempotencyKey?: string;
  /** When the call was due, in milliseconds since the start of the measured part. */
  readonly sentAtMs: number;
}

/** A call that has ended. */
export interface EndedCall {
  readonly call: Call;
  readonly outcome: CallOutcome;
  /** Time from when the call was due until its outcome, in milliseconds. */
  readonly latencyMs: number;
}
