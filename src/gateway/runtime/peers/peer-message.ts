/**
 * Messages between gateways, and their encoding: CBOR with the names of the fields. A message of an
 * unknown type or of the wrong shape spoils its connection.
 */
import { type Either, Left, Right } from 'purify-ts/Either';
import type { Subquery, SubqueryId, SubqueryPart } from '../../model/subquery.js';
import { decodeCbor, encodeCbor } from '../../../protocol/codec/cbor.js';
import type { KnownRevisions, ReaderNews } from '../../readers/reader-news.js';
import { isNews } from './news-shape.js';
import {
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
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

const isBytes = (value: unknown): value is Uint8Array => value instanceof Uint8Array;

const isSubquery = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['route']) &&
  isListOf(value['shards'], isText) &&
  isCount(value['maxRecords']) &&
  isCount(value['maxAttempts']) &&
  ['objectiveMs', 'partsWithinMs', 'deadlineMs'].every((name) => isFiniteNumber(value[name])) &&
  typeof value['isRepeat'] === 'boolean';

const isShardPart = (value: unknown): boolean =>
  isFields(value) && isText(value['service']) && isText(value['signature']);

const isPart = (value: unknown): boolean =>
  isFields(value) &&
  isListOf(value['shards'], isShardPart) &&
  isBytes(value['records']) &&
  (value['unsent'] === undefined || isListOf(value['unsent'], isText)) &&
  typeof value['isFinal'] === 'boolean';

const hasId: Check = ({ id }) => isCount(id);

const CHECKS: Readonly<Record<PeerMessage['type'], Check>> = {
  subquery: (fields) =>
    hasId(fields) &&
    ['requestId', 'method', 'path'].every((name) => isText(fields[name])) &&
    isListOf(fields['headers'], isText) &&
    (fields['body'] === null || isBytes(fields['body'])) &&
    isSubquery(fields['subquery']),
  cancel: (fields) => hasId(fields) && isFiniteNumber(fields['withinMs']),
  acknowledged: hasId,
  refused: hasId,
  parts: (fields) => hasId(fields) && isPart(fields['part']),
  ping: () => true,
  pong: ({ isServing }) => typeof isServing === 'boolean',
  stopping: () => true,
  follow: ({ revisions }) => isFields(revisions) && Object.values(revisions).every(isFiniteNumber),
  unfollow: () => true,
  news: ({ news }) => isNews(news),
};

/** Encodes a message. */
export const encodePeerMessage = (message: PeerMessage): Buffer => encodeCbor(message);

/** Decodes a message; the problem says what is wrong with the bytes. */
export const decodePeerMessage = (bytes: Uint8Array): Either<string, PeerMessage> => {
  const decoded = decodeCbor(bytes).toMaybe().extract();
  if (!isFields(decoded) || !isText(decoded['type'])) {
    return Left('is no message');
  }
  const check = Object.hasOwn(CHECKS, decoded['type'])
    ? CHECKS[decoded['type'] as PeerMessage['type']]
    : undefined;
  return check?.(decoded) === true
    ? Right(decoded as unknown as PeerMessage)
    : Left(`is no ${decoded['type']}`);
};
