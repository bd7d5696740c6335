/** Messages between gateways. Their encoding is in `peer-codec.ts`. */
import type { CrashUpdate } from '../../crashes/crash-update.js';
import type { CollectionName } from '../../store/collection.js';
import type { GatewayConfiguration } from '../../model/route.js';
import type { PeerAnswer, PeerRequest, PeerRequestId } from '../../model/peer-request.js';
import type { ReaderUpdate } from '../../readers/reader-update.js';
import type { Subquery, SubqueryId, SubqueryPart } from '../../model/subquery.js';

/** Requests the parts of some shards; contains the caller's request. */
export interface SubqueryMessage {
  readonly type: 'subquery';
  readonly id: SubqueryId;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Headers for replicas: a flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  readonly subquery: Subquery;
}

/** Cancels the rest of a subquery. */
export interface CancelMessage {
  readonly type: 'cancel';
  readonly id: SubqueryId;
  /** Time that attempts have to end by themselves, in milliseconds. */
  readonly withinMs: number;
}

/** A subquery was accepted. */
export interface AcknowledgedMessage {
  readonly type: 'acknowledged';
  readonly id: SubqueryId;
}

/** A subquery was refused; it was sent to no replica. */
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

/** `ping` requests a `pong`; `stopping`: the sender accepts no more subqueries. */
export interface SignalMessage {
  readonly type: 'ping' | 'stopping';
}

/** Answers a `ping`. */
export interface PongMessage {
  readonly type: 'pong';
  /** Whether the sender accepts subqueries. */
  readonly isServing: boolean;
}

/** Numbers by collection; some collections may be absent. */
export type CollectionNumbers = Partial<Readonly<Record<CollectionName, number>>>;

/** Requests updates of what the receiver reads from the store. */
export interface FollowMessage {
  readonly type: 'follow';
  /** Revisions up to which the sender knows the collections. */
  readonly revisions: CollectionNumbers;
  /** The eras of these revisions; absent if none is known, and from gateways of an earlier build. */
  readonly eras?: CollectionNumbers;
  /** The sender's configuration if it is newer than the one that the receiver has sent; usually absent. */
  readonly configuration?: GatewayConfiguration;
}

/** Ends the updates to the sender. */
export interface UnfollowMessage {
  readonly type: 'unfollow';
}

/** An update from a reader of the store. */
export interface ReaderUpdateMessage {
  readonly type: 'news';
  readonly news: ReaderUpdate;
}

/** Updates about requests that crash replicas. */
export interface CrashesMessage {
  readonly type: 'crashes';
  /** Name of the sender. */
  readonly from: string;
  readonly news: readonly CrashUpdate[];
}

/** A request that is answered once. */
export interface RequestMessage {
  readonly type: 'request';
  readonly id: PeerRequestId;
  /** Name of the sender. */
  readonly from: string;
  readonly request: PeerRequest;
}

/** The answer to a request. */
export interface AnswerMessage {
  readonly type: 'answer';
  readonly id: PeerRequestId;
  readonly answer: PeerAnswer;
}

/** Any message between gateways. */
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
  | CrashesMessage
  | RequestMessage
  | AnswerMessage;
