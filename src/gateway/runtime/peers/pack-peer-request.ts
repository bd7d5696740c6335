/** Packs requests between gateways and their answers as plain lists of values, for the reason given in `pack-message.ts`. */
import { isCount, isFiniteNumber, isText } from '../../../protocol/codec/shape.js';
import type { PeerAnswer, PeerRequest, TokenAnswer } from '../../model/peer-request.js';
import type { AnswerMessage, RequestMessage } from './peer-message.js';

/** First value of a list: type of the message. */
export const REQUEST_TAG = 3;
export const ANSWER_TAG = 4;

type Values = readonly unknown[];

/** Roles of a sender of tokens; an answer holds the index. */
const TOKEN_ROLES: readonly TokenAnswer['role'][] = ['none', 'owner', 'backup'];

const isAmount = (value: unknown): value is number => isFiniteNumber(value) && value >= 0;

const isAmountOrNull = (value: unknown): value is number | null =>
  value === null || isAmount(value);

const valuesOfRequest = (request: PeerRequest): Values => {
  switch (request.type) {
    case 'key-confirmation':
      return [];
    case 'tokens': {
      const { tenant, process, sequence, used, unused, returned, returnLimit } = request;
      const { needed, ahead, rank } = request;
      return [tenant, process, sequence, used, unused, returned, returnLimit, needed, ahead, rank];
    }
  }
};

const valuesOfAnswer = (answer: PeerAnswer): Values => {
  switch (answer.type) {
    case 'key-confirmation':
      return [answer.ageMs, answer.version, answer.keysHash];
    case 'tokens': {
      const { tenant, sequence, role, granted, ahead, isRenewed, validMs } = answer;
      const { returnLimit, availableInMs } = answer;
      const roleNumber = TOKEN_ROLES.indexOf(role);
      return [
        tenant,
        sequence,
        roleNumber,
        granted,
        ahead,
        isRenewed,
        validMs,
        returnLimit,
        availableInMs,
      ];
    }
  }
};

/** Packs a request. */
export const packRequest = ({ id, from, request }: RequestMessage): Values => [
  REQUEST_TAG,
  id,
  from,
  request.type,
  ...valuesOfRequest(request),
];

/** Packs an answer. */
export const packAnswer = ({ id, answer }: AnswerMessage): Values => [
  ANSWER_TAG,
  id,
  answer.type,
  ...valuesOfAnswer(answer),
];

const readRequest = (type: unknown, values: Values): PeerRequest | undefined => {
  if (type === 'key-confirmation') {
    return { type };
  }
  const [tenant, process, sequence, ...amounts] = values;
  const [used, unused, returned, returnLimit, needed, ahead, rank] = amounts;
  const isWhole =
    type === 'tokens' &&
    isText(tenant) &&
    isCount(process) &&
    isCount(sequence) &&
    isCount(used) &&
    isCount(unused) &&
    isCount(returned) &&
    isAmount(returnLimit) &&
    isCount(needed) &&
    isCount(ahead) &&
    isAmount(rank);
  return isWhole
    ? {
        type,
        tenant,
        process,
        sequence,
        used,
        unused,
        returned,
        returnLimit,
        needed,
        ahead,
        rank,
      }
    : undefined;
};

const readTokenAnswer = (values: Values): PeerAnswer | undefined => {
  const [tenant, sequence, roleNumber, ...amounts] = values;
  const [granted, ahead, isRenewed, validMs, returnLimit, availableInMs] = amounts;
  const role = isCount(roleNumber) ? TOKEN_ROLES[roleNumber] : undefined;
  const isWhole =
    isText(tenant) &&
    isCount(sequence) &&
    role !== undefined &&
    isCount(granted) &&
    isCount(ahead) &&
    typeof isRenewed === 'boolean' &&
    isAmount(validMs) &&
    isAmount(returnLimit) &&
    isAmount(availableInMs);
  return isWhole
    ? {
        type: 'tokens',
        tenant,
        sequence,
        role,
        granted,
        ahead,
        isRenewed,
        validMs,
        returnLimit,
        availableInMs,
      }
    : undefined;
};

const readAnswer = (type: unknown, values: Values): PeerAnswer | undefined => {
  if (type !== 'key-confirmation') {
    return type === 'tokens' ? readTokenAnswer(values) : undefined;
  }
  const [ageMs, version, keysHash] = values;
  const isWhole = isAmountOrNull(ageMs) && isAmountOrNull(version) && isAmountOrNull(keysHash);
  return isWhole ? { type, ageMs, version, keysHash } : undefined;
};

/** Unpacks a request; undefined if the list is malformed. */
export const unpackRequest = (values: Values): RequestMessage | undefined => {
  const [, id, from, type, ...rest] = values;
  const request = readRequest(type, rest);
  return isCount(id) && isText(from) && request !== undefined
    ? { type: 'request', id, from, request }
    : undefined;
};

/** Unpacks an answer; undefined if the list is malformed. */
export const unpackAnswer = (values: Values): AnswerMessage | undefined => {
  const [, id, type, ...rest] = values;
  const answer = readAnswer(type, rest);
  return isCount(id) && answer !== undefined ? { type: 'answer', id, answer } : undefined;
};
