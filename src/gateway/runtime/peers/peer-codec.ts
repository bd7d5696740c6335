/**
 * Encodes and decodes messages between gateways: CBOR maps with field names, except for the messages of subqueries,
 * which are lists (see `pack-message.ts`). A connection is closed if a message has an unknown type or the wrong shape.
 */
import { type Either, Left, Right } from 'purify-ts/Either';
import { decodeCbor, encodeCbor } from '../../../protocol/codec/cbor.js';
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isOptional,
  isText,
} from '../../../protocol/codec/shape.js';
import { withConnectableObjects } from './connectable-objects.js';
import { isCrashUpdate } from './crash-update-shape.js';
import { isConfiguration, isReaderUpdate } from './reader-update-shape.js';
import { packAnswer, packRequest } from './pack-peer-request.js';
import { isPacked, packParts, packSubquery, unpackMessage } from './pack-message.js';
import type {
  AnswerMessage,
  PartsMessage,
  PeerMessage,
  RequestMessage,
  SubqueryMessage,
} from './peer-message.js';

type Check = (fields: Fields) => boolean;

const isNumbers = (value: unknown): boolean =>
  isFields(value) && Object.values(value).every(isFiniteNumber);

const hasId: Check = ({ id }) => isCount(id);

/** Messages that are encoded with their field names; the others are packed. */
type NamedMessage = Exclude<
  PeerMessage,
  SubqueryMessage | PartsMessage | RequestMessage | AnswerMessage
>;

const SHAPE_CHECKS: Readonly<Record<NamedMessage['type'], Check>> = {
  cancel: (fields) => hasId(fields) && isFiniteNumber(fields['withinMs']),
  acknowledged: hasId,
  refused: hasId,
  ping: () => true,
  pong: ({ isServing }) => typeof isServing === 'boolean',
  stopping: () => true,
  follow: ({ revisions, eras, configuration }) =>
    isNumbers(revisions) &&
    isOptional(eras, isNumbers) &&
    isOptional(configuration, isConfiguration),
  unfollow: () => true,
  news: ({ news }) => isReaderUpdate(news),
  crashes: ({ from, news }) => isText(from) && isListOf(news, isCrashUpdate),
};

const packIfNeeded = (message: PeerMessage): unknown => {
  switch (message.type) {
    case 'subquery':
      return packSubquery(message);
    case 'parts':
      return packParts(message);
    case 'request':
      return packRequest(message);
    case 'answer':
      return packAnswer(message);
    default:
      return message;
  }
};

/** Encodes a message. */
export const encodePeerMessage = (message: PeerMessage): Buffer =>
  encodeCbor(packIfNeeded(message));

const withConnectable = (message: NamedMessage): NamedMessage =>
  message.type === 'news'
    ? { type: message.type, news: withConnectableObjects(message.news) }
    : message;

const readNamed = (fields: Fields): Either<string, PeerMessage> => {
  const { type } = fields;
  const check =
    isText(type) && Object.hasOwn(SHAPE_CHECKS, type)
      ? SHAPE_CHECKS[type as NamedMessage['type']]
      : undefined;
  return check?.(fields) === true
    ? Right(withConnectable(fields as unknown as NamedMessage))
    : Left(`is not a valid ${isText(type) ? type : 'message'}`);
};

/** Decodes a message; on failure, the text describes the problem. */
export const decodePeerMessage = (bytes: Uint8Array): Either<string, PeerMessage> => {
  const decoded = decodeCbor(bytes).toMaybe().extract();
  if (isPacked(decoded)) {
    const message = unpackMessage(decoded);
    return message === undefined ? Left('is not a valid packed message') : Right(message);
  }
  return isFields(decoded) ? readNamed(decoded) : Left('is not a message');
};
