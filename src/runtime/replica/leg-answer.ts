/** Reads the answer of a replica. A malformed answer counts as an attempt that may have run. */
import { identifier } from '../../core/identifiers.js';
import type { AttemptId, RequestId, ShardId } from '../../core/identifiers.js';
import { isAnswerItem, isNotRunReason, isReplicaLoad } from '../../protocol/codec/leg-shapes.js';
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isText,
} from '../../protocol/codec/shape.js';
import type { AnswerItem, AttemptOutcome, ReplicaLoad } from '../../protocol/leg-messages.js';

/** The HTTP answer of a replica. */
export interface RawLegAnswer {
  readonly status: number;
  readonly body: string;
  /** True if a header reports that the replica is leaving. */
  readonly leaving: boolean;
}

/** An answer under construction. */
type Answered = {
  -readonly [Field in keyof ReadonlyAnswered]: ReadonlyAnswered[Field];
};
type ReadonlyAnswered = Extract<AttemptOutcome, { type: 'answered' }>;

const BAD_ANSWER: AttemptOutcome = { type: 'unknown', reason: 'bad-answer' };
const SERVER_ERROR: AttemptOutcome = { type: 'unknown', reason: 'server-error' };
const CANCELLED: AttemptOutcome = { type: 'unknown', reason: 'cancelled' };

/** Uses `try` rather than `Either.encase` for speed, as it runs for each leg. */
const parseFields = (body: string): Fields | undefined => {
  try {
    const value: unknown = JSON.parse(body);
    return isFields(value) ? value : undefined;
  } catch {
    return undefined;
  }
};

const isAnswer = (fields: Fields): boolean =>
  isText(fields['request']) &&
  isText(fields['shard']) &&
  isCount(fields['snapshot']) &&
  isListOf(fields['items'], isAnswerItem);

const readAnswer = (answer: RawLegAnswer, attempt: AttemptId): AttemptOutcome => {
  const fields = parseFields(answer.body);
  if (fields === undefined || !isAnswer(fields) || fields['attempt'] !== attempt) {
    return BAD_ANSWER;
  }
  const answered: Answered = {
    type: 'answered',
    request: identifier<RequestId>(fields['request'] as string),
    shard: identifier<ShardId>(fields['shard'] as string),
    snapshot: fields['snapshot'] as number,
    items: fields['items'] as AnswerItem[],
  };
  const load = fields['load'];
  if (isReplicaLoad(load)) {
    answered.load = load as ReplicaLoad;
  }
  if (answer.leaving) {
    answered.leaving = true;
  }
  return answered;
};

const readRefusal = (body: string): AttemptOutcome => {
  const fields = parseFields(body);
  const reason = fields?.['reason'];
  if (fields?.['outcome'] !== 'not-run' || !isNotRunReason(reason)) {
    return BAD_ANSWER;
  }
  const retryAfterMs = fields['retryAfterMs'];
  return isFiniteNumber(retryAfterMs) && retryAfterMs >= 0
    ? { type: 'not-run', reason, retryAfterMs }
    : { type: 'not-run', reason };
};

/** Determines the outcome of `attempt` from the answer of the replica. */
export const readLegAnswer = (answer: RawLegAnswer, attempt: AttemptId): AttemptOutcome => {
  switch (answer.status) {
    case 200:
      return readAnswer(answer, attempt);
    case 503:
    case 410:
      return readRefusal(answer.body);
    case 499:
      return CANCELLED;
    default:
      return answer.status >= 500 ? SERVER_ERROR : BAD_ANSWER;
  }
};
