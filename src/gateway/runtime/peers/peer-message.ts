/** Messages between gateways. Their encoding is in `peer-codec.ts`. */
import type { CrashUpdate } from '../../crashes/crash-update.js';
import type { CollectionName } from '../../store/collection.js';
import type { GatewayConfiguration } from '../../model/route.js';
import type { ReaderUpdate } from '../../readers/reader-update.js';
import type { Subquery, SubqueryId, SubqueryPart } from '../../model/subquery.js';

/** Asks for the parts of some shards; the request's bytes go with it. */
export interface SubqueryMessage {
  readonly type: 'subquery';
  readonly id: SubqueryId;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values that replicas get. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  readonly subquery: Subquery;
}

/** The rest of a subquery is no longer wanted. */
export interface CancelMessage {
  readonly type: 'cancel';
  readonly id: SubqueryId;
  readonly withinMs: number;
}

/** A subquery was taken. */
export interface AcknowledgedMessage {
  readonly type: 'acknowledged';
  readonly id: SubqueryId;
}

/** A subquery was not taken; no replica has seen it. */
export interface RefusedMessage {
  readonly type: 'refused';
  readonly id: SubqueryId;
}

/** Parts of a subquery. */
export interface PartsMessage {
  readonly type: 'parts';
  readonly id: SubqueryId;
  readonly part: SubqueryPart;
}

/** `ping` asks for a `pong`; `stopping`: the sender takes no more subqueries. */
export interface SignalMessage {
  readonly type: 'ping' | 'stopping';
}

/** Answers a `ping`. */
export interface PongMessage {
  readonly type: 'pong';
  /** The sender takes subqueries. */
  readonly isServing: boolean;
}

/** A number for some collections. */
export type CollectionNumbers = Partial<Readonly<Record<CollectionName, number>>>;

/** The sender wants to be told what the receiver reads from the store. */
export interface FollowMessage {
  readonly type: 'follow';
  /** Revisions up to which the sender knows the collections. */
  readonly revisions: CollectionNumbers;
  /** The eras of these revisions; absent where none is known, and from gateways of an earlier build. */
  readonly eras?: CollectionNumbers;
  /** A newer configuration than the receiver has told; absent mostly. */
  readonly configuration?: GatewayConfiguration;
}

/** The sender no longer wants it. */
export interface UnfollowMessage {
  readonly type: 'unfollow';
}

/** What a reader of the store tells. */
export interface ReaderUpdateMessage {
  readonly type: 'news';
  readonly news: ReaderUpdate;
}

/** Tells of requests under which replicas have ended. */
export interface CrashesMessage {
  readonly type: 'crashes';
  /** Name of the sender. */
  readonly from: string;
  readonly news: readonly CrashUpdate[];
}

/** Every message between gateways. */
export type PeerMessage =
  | SubqueryMessage
  | CancelMessage
  | AcknowledgedMessage
  | RefusedMessage
  | PartsMessage
  | PongMessage
  | SignalMessage
  | FollowMessage
  | UnfollowMessage
  | ReaderUpdateMessage
  | CrashesMessage;
