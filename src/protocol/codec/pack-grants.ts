/**
 * Packs messages about grants into lists without field names. These messages are sent continuously, and
 * field names would make up two thirds of their size.
 */
import type { Grant, GrantRequest, LimitBound } from '../grant-messages.js';
import type { LinkMessage } from '../peer-message.js';

const REQUEST_TAG = 1;
const GRANT_TAG = 2;

const packRequest = (message: GrantRequest): readonly unknown[] => [
  REQUEST_TAG,
  message.limit.row,
  message.limit.bound === 'concurrent',
  message.asker,
  message.asked,
  message.process,
  message.demand,
  message.used,
  message.holds,
  message.heldSequence,
  message.sequence,
];

const packGrant = (message: Grant): readonly unknown[] => [
  GRANT_TAG,
  message.limit.row,
  message.limit.bound === 'concurrent',
  message.asker,
  message.amount,
  message.sequence,
  message.adopted,
  message.validMs,
];

/** Converts a message to the value that is encoded. */
export const packMessage = (message: LinkMessage): unknown => {
  switch (message.type) {
    case 'grant-request':
      return packRequest(message);
    case 'grant':
      return packGrant(message);
    default:
      return message;
  }
};

const boundOf = (isConcurrent: unknown): LimitBound | undefined =>
  isConcurrent === true ? 'concurrent' : isConcurrent === false ? 'per-second' : undefined;

const unpackRequest = (packed: readonly unknown[]): unknown => {
  const [, row, bound, asker, asked, process, demand, used, holds, heldSequence, sequence] = packed;
  return {
    type: 'grant-request',
    limit: { row, bound: boundOf(bound) },
    asker,
    asked,
    process,
    demand,
    used,
    holds,
    heldSequence,
    sequence,
  };
};

const unpackGrant = (packed: readonly unknown[]): unknown => {
  const [, row, bound, asker, amount, sequence, adopted, validMs] = packed;
  return {
    type: 'grant',
    limit: { row, bound: boundOf(bound) },
    asker,
    amount,
    sequence,
    adopted,
    validMs,
  };
};

/** Converts a decoded value back to a message, whose shape the caller must check. */
export const unpackMessage = (packed: unknown): unknown => {
  if (!Array.isArray(packed)) {
    return packed;
  }
  switch (packed[0]) {
    case REQUEST_TAG:
      return unpackRequest(packed);
    case GRANT_TAG:
      return unpackGrant(packed);
    default:
      return undefined;
  }
};
