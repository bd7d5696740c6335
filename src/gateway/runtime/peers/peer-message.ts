/**
 * Messages between gateways, and their encoding: CBOR with the names of the fields, but for those of
 * subqueries, which are lists (see `pack-message.ts`). A message of an unknown type or of the wrong shape
 * spoils its connection.
 */
import { type Either, Left, Right } from 'purify-ts/Either';
import type { Subquery, SubqueryId, SubqueryPart } from '../../model/subquery.js';
import { decodeCbor, encodeCbor } from '../../../protocol/codec/cbor.js';
import type { KnownRevisions, ReaderNews } from '../../readers/reader-news.js';
import { isNews } from './news-shape.js';
import { isPacked, packParts, packSubquery, unpackMessage } from './pack-message.js';
import {
  isCount,
  isFields,
  isFiniteNumber,
  isText,
  type Fields,
} from '../../../protocol/codec/shape.js';

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

/** The sender wants to be told what the receiver reads from the store. */
export interface FollowMessage {
  readonly type: 'follow';
  readonly revisions: KnownRevisions;
}

/** The sender no longer wants it. */
export interface UnfollowMessage {
  readonly type: 'unfollow';
}

/** What a reader of the store tells. */
export interface NewsMessage {
  readonly type: 'news';
  readonly news: ReaderNews;
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
  | NewsMessage;

type Check = (fields: Fields) => boolean;

const hasId: Check = ({ id }) => isCount(id);

/** Messages that go as they are; those of subqueries are packed. */
type NamedMessage = Exclude<PeerMessage, SubqueryMessage | PartsMessage>;

const CHECKS: Readonly<Record<NamedMessage['type'], Check>> = {
  cancel: (fields) => hasId(fields) && isFiniteNumber(fields['withinMs']),
  acknowledged: hasId,
  refused: hasId,
  ping: () => true,
  pong: ({ isServing }) => typeof isServing === 'boolean',
  stopping: () => true,
  follow: ({ revisions }) => isFields(revisions) && Object.values(revisions).every(isFiniteNumber),
  unfollow: () => true,
  news: ({ news }) => isNews(news),
};

const packed = (message: PeerMessage): unknown => {
  switch (message.type) {
    case 'subquery':
      return packSubquery(message);
    case 'parts':
      return packParts(message);
    default:
      return message;
  }
};

/** Encodes a message. */
export const encodePeerMessage = (message: PeerMessage): Buffer => encodeCbor(packed(message));

const readNamed = (fields: Fields): Either<string, PeerMessage> => {
  const { type } = fields;
  const check =
    isText(type) && Object.hasOwn(CHECKS, type) ? CHECKS[type as NamedMessage['type']] : undefined;
  return check?.(fields) === true
    ? Right(fields as unknown as NamedMessage)
    : Left(`is no ${isText(type) ? type : 'message'}`);
};

/** Decodes a message; the problem says what is wrong with the bytes. */
export const decodePeerMessage = (bytes: Uint8Array): Either<string, PeerMessage> => {
  const decoded = decodeCbor(bytes).toMaybe().extract();
  if (isPacked(decoded)) {
    const message = unpackMessage(decoded);
    return message === undefined ? Left('is no packed message') : Right(message);
  }
  return isFields(decoded) ? readNamed(decoded) : Left('is no message');
};
