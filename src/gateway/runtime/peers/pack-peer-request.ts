/** Packs requests between gateways and their answers as plain lists of values, for the reason given in `pack-message.ts`. */
import { isCount, isFiniteNumber, isText } from '../../../protocol/codec/shape.js';
import type { PeerAnswer, PeerRequest } from '../../model/peer-request.js';
import type { AnswerMessage, RequestMessage } from './peer-message.js';

/** First value of a list: type of the message. */
export const REQUEST_TAG = 3;
export const ANSWER_TAG = 4;

type Values = readonly unknown[];

const isAmount = (value: unknown): value is number => isFiniteNumber(value) && value >= 0;

const isAmountOrNull = (value: unknown): value is number | null =>
  value === null || isAmount(value);

const valuesOfRequest = (request: PeerRequest): Values => {
  switch (request.type) {
    case 'key-confirmation':
      return [];
    case 'tokens': {
      const { tenant, process, sequence, used, granted, wanted, rank } = request;
      return [tenant, process, sequence, used, granted, wanted, rank];
    }
  }
};

const valuesOfAnswer = (answer: PeerAnswer): Values => {
  switch (answer.type) {
    case 'key-confirmation':
      return [answer.ageMs, answer.version];
    case 'tokens': {
      const { tenant, sequence, granted, validMs, availableInMs } = answer;
      return [tenant, sequence, granted, validMs, availableInMs];
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
  const [tenant, process, sequence, used, granted, wanted, rank] = values;
  const isWhole =
    type === 'tokens' &&
    isText(tenant) &&
    isCount(process) &&
    isCount(sequence) &&
    isAmount(used) &&
    isAmount(granted) &&
    isAmount(wanted) &&
    isAmount(rank);
  return isWhole ? { type, tenant, process, sequence, used, granted, wanted, rank } : undefined;
};

const readAnswer = (type: unknown, values: Values): PeerAnswer | undefined => {
  if (type === 'key-confirmation') {
    const [ageMs, version] = values;
    return isAmountOrNull(ageMs) && isAmountOrNull(version) ? { type, ageMs, version } : undefined;
  }
  const [tenant, sequence, granted, validMs, availableInMs] = values;
  const isWhole =
    type === 'tokens' &&
    isText(tenant) &&
    isCount(sequence) &&
    isAmount(granted) &&
    isAmount(validMs) &&
    isAmount(availableInMs);
  return isWhole ? { type, tenant, sequence, granted, validMs, availableInMs } : undefined;
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
