/** Requests of callers and their outcomes. */
import type { SnapshotVersion } from '../../catalog/partner-index.js';
import type { AnswerItem, NotRunReason, UnknownReason } from '../../protocol/leg-messages.js';
import type { PartnerId, RequestId, RequestKind, RouteName, ShardId } from '../identifiers.js';

/** A caller's request, authenticated and well-formed. */
export interface QueryRequest {
  readonly partner: PartnerId;
  readonly route: RouteName;
  readonly kind: RequestKind;
  /** Deadline requested by the caller, in milliseconds; absent for the row's deadline. */
  readonly deadlineMs?: number;
  /** Coverage that suffices for an early answer, 0 to 1; absent for the row's coverage. */
  readonly coverage?: number;
  readonly idempotencyKey?: string;
  /** Selects the shard of a query with fan-out `key`. */
  readonly key?: string;
  readonly maxItems?: number;
  readonly payload: unknown;
}

/** Why a shard is missing from an answer. */
export type MissingReason = NotRunReason | UnknownReason | 'no-replica' | 'coverage-reached';

/** A shard that did not contribute. */
export interface MissingShard {
  readonly shard: ShardId;
  readonly reason: MissingReason;
}

/** Work that one query caused at the back ends. */
export interface QueryCost {
  /** Legs the query needed, one for each of its shards. */
  readonly needed: number;
  /** Attempts sent to feeders, including hedges and retries. */
  readonly sent: number;
  readonly hedges: number;
  readonly retries: number;
}

/** Why a request was refused; no part of it has run. */
export type RefusalReason =
  | 'stopping'
  | 'not-ready'
  | 'unknown-route'
  | 'over-limit'
  | 'overloaded'
  | 'no-snapshot'
  | 'already-claimed'
  | 'key-missing'
  | 'key-invalid'
  | 'legs-refused';

/** The outcome of a query. */
export type QueryOutcome =
  | {
      readonly type: 'answered';
      readonly request: RequestId;
      readonly snapshot: SnapshotVersion;
      readonly items: readonly AnswerItem[];
      readonly shards: number;
      readonly contributed: number;
      readonly missing: readonly MissingShard[];
      readonly cost: QueryCost;
    }
  | {
      readonly type: 'not-run';
      readonly request: RequestId;
      readonly reason: RefusalReason;
      /** Time after which the caller may retry, in milliseconds. */
      readonly retryAfterMs?: number;
      readonly cost: QueryCost;
    }
  | {
      readonly type: 'unknown';
      readonly request: RequestId;
      readonly reason: UnknownReason;
      readonly cost: QueryCost;
    };
