/**
 * Packs the two messages of a subquery as plain lists of values. With field names, the CBOR library builds a reader for
 * each type of object again with every message. For a gateway that answers a gather every few seconds, this costs more
 * than the gather itself: encoding and decoding six messages of parts for the first time took 8.3 ms with names and
 * 1.1 ms as lists, later 1.0 and 0.6 ms.
 */
import type { ShardWait, Subquery, SubqueryPart } from '../../model/subquery.js';
import { isCount, isFiniteNumber, isListOf, isText } from '../../../protocol/codec/shape.js';
import { ANSWER_TAG, REQUEST_TAG, unpackAnswer, unpackRequest } from './pack-peer-request.js';
import type {
  AnswerMessage,
  PartsMessage,
  RequestMessage,
  SubqueryMessage,
} from './peer-message.js';

/** First value of a list: type of the message. */
const SUBQUERY_TAG = 1;
const PARTS_TAG = 2;

/** A message as a list. */
export type PackedMessage = readonly unknown[];

/** Returns whether a decoded value is a packed message. */
export const isPacked = (value: unknown): value is PackedMessage => Array.isArray(value);

/**
 * Packs the optional fields, up to the last one that is present, so that gateways of earlier builds can read the lists of
 * requests that use none of the newer fields.
 */
const packOptional = (subquery: Subquery): readonly unknown[] => {
  const { allowedRegions, isTrial = false, rank = 0, fingerprint } = subquery;
  const values = [allowedRegions ?? null, isTrial, rank, fingerprint ?? null];
  const isPresent = [allowedRegions !== undefined, isTrial, rank !== 0, fingerprint !== undefined];
  return values.slice(0, isPresent.lastIndexOf(true) + 1);
};

/** Packs a subquery. */
export const packSubquery = (message: SubqueryMessage): PackedMessage => {
  const { id, requestId, method, path, headers, body, subquery } = message;
  return [
    SUBQUERY_TAG,
    id,
    requestId,
    method,
    path,
    headers,
    body,
    subquery.route,
    subquery.shards,
    subquery.maxRecords,
    subquery.maxAttempts,
    subquery.objectiveMs,
    subquery.partsWithinMs,
    subquery.deadlineMs,
    subquery.isRepeat,
    ...packOptional(subquery),
  ];
};

/** Packs the optional fields of parts, up to the last one that is present. */
const packOptionalParts = ({ hasCrashed = false, dropped, waits }: SubqueryPart) => {
  const packedWaits = (waits ?? []).flatMap(({ service, rank, waitMs }) => [service, rank, waitMs]);
  const values = [hasCrashed, dropped ?? [], packedWaits];
  const isPresent = [hasCrashed, dropped !== undefined, waits !== undefined];
  return values.slice(0, isPresent.lastIndexOf(true) + 1);
};

/** Packs parts. */
export const packParts = ({ id, part }: PartsMessage): PackedMessage => [
  PARTS_TAG,
  id,
  part.shards.map(({ service }) => service),
  part.shards.map(({ signature }) => signature),
  part.records,
  part.unsent ?? [],
  part.isFinal,
  ...packOptionalParts(part),
];

const isBytes = (value: unknown): value is Uint8Array => value instanceof Uint8Array;

const isTexts = (value: unknown): value is readonly string[] => isListOf(value, isText);

const isNullOr = <Value>(
  isValue: (value: unknown) => value is Value,
  value: unknown,
): value is Value | null => value === null || isValue(value);

const isFlag = (value: unknown): value is boolean => typeof value === 'boolean';

const unpackSubquery = (values: PackedMessage): SubqueryMessage | undefined => {
  const [, id, requestId, method, path, headers, body, ...rest] = values;
  const subquery = unpackDetails(rest);
  const isWhole =
    isCount(id) &&
    isText(requestId) &&
    isText(method) &&
    isText(path) &&
    isTexts(headers) &&
    (body === null || isBytes(body)) &&
    subquery !== undefined;
  return isWhole
    ? { type: 'subquery', id, requestId, method, path, headers, body, subquery }
    : undefined;
};

/** Unpacks the optional fields; undefined if they are malformed. */
const unpackOptional = (
  values: readonly unknown[],
): Pick<Subquery, 'allowedRegions' | 'isTrial' | 'rank' | 'fingerprint'> | undefined => {
  const [regions = null, isTrial = false, rank = 0, fingerprint = null] = values;
  if (
    !isNullOr(isTexts, regions) ||
    !isFlag(isTrial) ||
    !isCount(rank) ||
    !isNullOr(isText, fingerprint)
  ) {
    return undefined;
  }
  return {
    ...(regions !== null && { allowedRegions: regions }),
    ...(isTrial && { isTrial }),
    ...(rank !== 0 && { rank }),
    ...(fingerprint !== null && { fingerprint }),
  };
};

const unpackDetails = (values: readonly unknown[]): Subquery | undefined => {
  const [route, shards, maxRecords, maxAttempts, objectiveMs, ...rest] = values;
  const [partsWithinMs, deadlineMs, isRepeat, ...last] = rest;
  const optional = unpackOptional(last);
  const isWhole =
    isText(route) &&
    isTexts(shards) &&
    isCount(maxRecords) &&
    isCount(maxAttempts) &&
    isFiniteNumber(objectiveMs) &&
    isFiniteNumber(partsWithinMs) &&
    isFiniteNumber(deadlineMs) &&
    isFlag(isRepeat) &&
    optional !== undefined;
  return isWhole
    ? {
        route,
        shards,
        maxRecords,
        maxAttempts,
        objectiveMs,
        partsWithinMs,
        deadlineMs,
        isRepeat,
        ...optional,
      }
    : undefined;
};

const WAIT_FIELDS = 3;

/** Unpacks waits; undefined if they are malformed. */
const unpackWaits = (values: unknown): readonly ShardWait[] | undefined => {
  if (!Array.isArray(values) || values.length % WAIT_FIELDS !== 0) {
    return undefined;
  }
  const waits: ShardWait[] = [];
  for (let index = 0; index < values.length; index += WAIT_FIELDS) {
    const [service, rank, waitMs] = values.slice(index, index + WAIT_FIELDS) as unknown[];
    if (!isText(service) || !isFiniteNumber(rank) || !isFiniteNumber(waitMs)) {
      return undefined;
    }
    waits.push({ service, rank, waitMs });
  }
  return waits;
};

/** Unpacks the optional fields of parts; undefined if they are malformed. */
const unpackOptionalParts = (
  values: readonly unknown[],
): Pick<SubqueryPart, 'hasCrashed' | 'dropped' | 'waits'> | undefined => {
  const [hasCrashed = false, dropped = [], packedWaits = []] = values;
  const waits = unpackWaits(packedWaits);
  if (!isFlag(hasCrashed) || !isTexts(dropped) || waits === undefined) {
    return undefined;
  }
  return {
    ...(hasCrashed && { hasCrashed }),
    ...(dropped.length > 0 && { dropped }),
    ...(waits.length > 0 && { waits }),
  };
};

const unpackParts = (values: PackedMessage): PartsMessage | undefined => {
  const [, id, services, signatures, records, unsent, isFinal, ...last] = values;
  const optional = unpackOptionalParts(last);
  const isWhole =
    isCount(id) &&
    isTexts(services) &&
    isTexts(signatures) &&
    services.length === signatures.length &&
    isBytes(records) &&
    isTexts(unsent) &&
    isFlag(isFinal) &&
    optional !== undefined;
  if (!isWhole) {
    return undefined;
  }
  const shards = services.map((service, index) => ({
    service,
    signature: signatures[index] ?? '',
  }));
  const part: SubqueryPart = {
    shards,
    records,
    unsent,
    isFinal,
    ...optional,
  };
  return { type: 'parts', id, part };
};

/** Returns the message packed as a list; undefined if the list is no valid message. */
export const unpackMessage = (
  values: PackedMessage,
): SubqueryMessage | PartsMessage | RequestMessage | AnswerMessage | undefined => {
  switch (values[0]) {
    case SUBQUERY_TAG:
      return unpackSubquery(values);
    case PARTS_TAG:
      return unpackParts(values);
    case REQUEST_TAG:
      return unpackRequest(values);
    case ANSWER_TAG:
      return unpackAnswer(values);
    default:
      return undefined;
  }
};
