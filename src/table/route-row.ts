/** Rows of a partner's sheet: one for each kind of request on a route. */
import type { PartnerId, RequestKind, RouteName } from '../core/identifiers.js';

/** Fan-out of a query: to every shard of the route's services, or to the shard its key hashes to. */
export type FanOut = 'all' | 'key';

/** How the answers of the shards are merged. */
export type MergeRule = 'concatenate' | 'top' | 'sum';

/** How a query selects the snapshot that it pins. */
export type SnapshotPolicy = 'covered' | 'newest';

/** The configuration of one kind of request on one route. */
export interface RouteRow {
  readonly partner: PartnerId;
  readonly route: RouteName;
  readonly kind: RequestKind;
  /** Service names, or prefixes ending in `*`, e.g. `booking-desk-*`. */
  readonly services: readonly string[];
  readonly fanOut: FanOut;
  readonly merge: MergeRule;
  /** Maximum number of items in an answer; at least 1. */
  readonly maxItems: number;
  /** Share of the partner's capacity, relative to its other rows; greater than 0. */
  readonly weight: number;
  /** Maximum duration of a query in milliseconds; callers may request a shorter one. */
  readonly deadlineMs: number;
  /** Share of shards, 0 to 1, that is enough to answer before the deadline; 1 waits for all. */
  readonly coverage: number;
  /** False for bookings and ledger changes: such a request runs at most once. */
  readonly safeToRepeat: boolean;
  /** Maximum number of concurrent queries over all nodes together; absent for no limit. */
  readonly concurrentLimit?: number;
  /** Maximum number of queries per second over all nodes together; absent for no limit. */
  readonly perSecondLimit?: number;
  /** Maximum number of hedges and retries, as a share of the needed legs, 0 to 1. */
  readonly extraLoadLimit: number;
  readonly hedging: boolean;
  readonly snapshotPolicy: SnapshotPolicy;
}
