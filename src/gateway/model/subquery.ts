/** Subqueries, by which a gateway requests the parts of some shards of a gather from a feeder. */

import type { ClassRank } from '../scheduling/class-rank.js';
import type { Fingerprint } from './request.js';

/** Identifies a subquery within the process that sends it. */
export type SubqueryId = number;

/** The parameters of a subquery; the driver keeps the request's bytes. */
export interface Subquery {
  /** Name of the route; the feeder keeps its latencies per route. */
  readonly route: string;
  /** The requested shards, by their names in one version of the configuration. */
  readonly shards: readonly string[];
  readonly maxRecords: number;
  readonly maxAttempts: number;
  /** The route's objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Time after which parts are sent as they arrive, in milliseconds since the arrival of the subquery. */
  readonly partsWithinMs: number;
  /** Time after which no more parts are needed, in milliseconds since the arrival of the subquery. */
  readonly deadlineMs: number;
  /** Another feeder may already have sent the request to replicas. */
  readonly isRepeat: boolean;
  /** Regions in which the request may be served; absent if all are allowed. */
  readonly allowedRegions?: readonly string[];
  /** The request is blocked because it crashed replicas, and this is a trial of it; absent otherwise. */
  readonly isTrial?: boolean;
  /** Class of the request; absent for 0, and for callers without a tenant, where the route's priority determines it. */
  readonly rank?: ClassRank;
  /** The request's fingerprint; absent if the receiver can compute it, because all headers are passed on. */
  readonly fingerprint?: Fingerprint;
}

/** The answer of one shard; its records are merged with those of the other shards. */
export interface ShardPart {
  readonly service: string;
  /** The replica's signature. */
  readonly signature: string;
}

/** Expected wait for room at a feeder. */
export interface ShardWait {
  readonly service: string;
  readonly rank: ClassRank;
  readonly waitMs: number;
}

/** Parts of one or more shards that a feeder sends in one message. */
export interface SubqueryPart {
  readonly shards: readonly ShardPart[];
  /** The greatest records of these parts, in descending order. */
  readonly records: Uint8Array;
  /**
   * Shards for which the feeder sent the request to no replica, because it knows none or may use none. Feeders of older
   * builds omit it.
   */
  readonly unsent?: readonly string[];
  /** The request has crashed replicas at this feeder, or is blocked there for that; absent if neither applies. */
  readonly hasCrashed?: boolean;
  /**
   * Shards for which the request waited for room until it was too late and was sent to no replica; absent if there are none.
   * No other feeder should try.
   */
  readonly dropped?: readonly string[];
  /** Expected waits of the classes at the shards of the subquery; absent while no attempt waits there. */
  readonly waits?: readonly ShardWait[];
  /** The last message: shards that were not in any part have no answer. */
  readonly isFinal: boolean;
}

/** Why a peer is avoided for a while. */
export type PeerProblem =
  'unreachable' | 'silent' | 'disconnected' | 'stopping' | 'refusing' | 'unacknowledged';
