/** Subqueries: a gateway asks a feeder for the parts of some shards of a gather. */

/** Names a subquery inside the process that asks. */
export type SubqueryId = number;

/** What a feeder is asked for; the request's bytes stay at the edge. */
export interface Subquery {
  /** The route, by which the feeder keeps its latencies. */
  readonly route: string;
  /** The shards that are asked for, as one version of the configuration names them. */
  readonly shards: readonly string[];
  readonly maxRecords: number;
  readonly maxAttempts: number;
  /** The route's objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Time after which parts are sent as they come, in milliseconds from the arrival. */
  readonly partsWithinMs: number;
  /** Time after which nothing is wanted any more, in milliseconds from the arrival. */
  readonly deadlineMs: number;
  /** Another feeder may have sent the request to replicas before. */
  readonly isRepeat: boolean;
  /** Regions in which the request may be served; absent where all will do. */
  readonly allowedRegions?: readonly string[];
  /** The request is blocked because replicas ended under it, and is tried now; absent where it is not. */
  readonly isTrial?: boolean;
}

/** The part of one shard; its records are merged with those of the others. */
export interface ShardPart {
  readonly service: string;
  /** The replica's signature. */
  readonly signature: string;
}

/** Parts that a feeder sends together. */
export interface SubqueryPart {
  readonly shards: readonly ShardPart[];
  /** The greatest records of these parts, greatest first. */
  readonly records: Uint8Array;
  /**
   * Shards that the feeder sent to no replica: it knows none, or may send to none. Feeders of
   * older builds leave it out.
   */
  readonly unsent?: readonly string[];
  /** Replicas have ended under the request here, or it is blocked for that; absent where neither is so. */
  readonly hasCrashed?: boolean;
  /** Nothing follows: shards that were not in any part have no answer. */
  readonly isFinal: boolean;
}

/** Why a peer is passed over for a while. */
export type PeerProblem =
  'unreachable' | 'silent' | 'disconnected' | 'stopping' | 'refusing' | 'unacknowledged';
