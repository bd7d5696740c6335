/** Checks the shape of messages about legs. Written by hand for speed, as a check runs for each leg. */
import type { NotRunReason, UnknownReason } from '../leg-messages.js';
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isOptional,
  isText,
} from './shape.js';

const NOT_RUN_REASONS: Readonly<Record<NotRunReason, true>> = {
  shedding: true,
  leaving: true,
  'deadline-passed': true,
  'snapshot-gone': true,
  'unknown-shard': true,
  'connect-failed': true,
  'queue-full': true,
  'not-answering': true,
  'cancelled-before-sent': true,
  'unknown-replica': true,
};

const UNKNOWN_REASONS: Readonly<Record<UnknownReason, true>> = {
  'timed-out': true,
  'connection-lost': true,
  'bad-answer': true,
  'server-error': true,
  cancelled: true,
  'peer-lost': true,
};

/** True for a reason of an attempt that did not run. */
export const isNotRunReason = (value: unknown): value is NotRunReason =>
  isText(value) && Object.hasOwn(NOT_RUN_REASONS, value);

/** True for a reason of an attempt that may have run. */
const isUnknownReason = (value: unknown): value is UnknownReason =>
  isText(value) && Object.hasOwn(UNKNOWN_REASONS, value);

/** True for an item of an answer. */
export const isAnswerItem = (value: unknown): boolean =>
  isFields(value) && isText(value['id']) && isFiniteNumber(value['score']);

/** True for the load that a replica reports. */
export const isReplicaLoad = (value: unknown): boolean =>
  isFields(value) && isCount(value['inFlight']) && isCount(value['queued']);

const isAnswer = (value: Fields): boolean =>
  isText(value['request']) &&
  isText(value['shard']) &&
  isCount(value['snapshot']) &&
  isListOf(value['items'], isAnswerItem) &&
  isOptional(value['load'], isReplicaLoad);

const isOutcome = (value: unknown): boolean => {
  if (!isFields(value)) {
    return false;
  }
  switch (value['type']) {
    case 'answered':
      return isAnswer(value);
    case 'not-run':
      return isNotRunReason(value['reason']) && isOptional(value['retryAfterMs'], isFiniteNumber);
    case 'unknown':
      return isUnknownReason(value['reason']);
    default:
      return false;
  }
};

const isResult = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['attempt']) &&
  isFiniteNumber(value['queuedMs']) &&
  isFiniteNumber(value['serviceMs']) &&
  isOptional(value['backlogMs'], isFiniteNumber) &&
  isOptional(value['heldMs'], isFiniteNumber) &&
  isOutcome(value['outcome']);

const isLeg = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['attempt']) &&
  isText(value['shard']) &&
  isText(value['replica']) &&
  isOptional(value['insist'], (insist) => insist === true);

const isContext = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['request']) &&
  isText(value['partner']) &&
  isText(value['route']) &&
  isText(value['kind']) &&
  isCount(value['snapshot']) &&
  typeof value['safeToRepeat'] === 'boolean' &&
  isOptional(value['idempotencyKey'], isText) &&
  isCount(value['maxItems']);

/** True for the fields of a `leg-batch`. */
export const isLegBatch = (value: Fields): boolean =>
  isContext(value['context']) &&
  isFiniteNumber(value['remainingMs']) &&
  isOptional(value['mayWait'], (mayWait) => mayWait === true) &&
  isListOf(value['legs'], isLeg);

/** True for the fields of a `leg-cancel`. */
export const isLegCancel = (value: Fields): boolean => isListOf(value['attempts'], isText);

/** True for the fields of `leg-results`. */
export const isLegResults = (value: Fields): boolean => isListOf(value['results'], isResult);
