/** Handles the results of attempts: discards those that match no attempt and continues each query. */
import type { AttemptOutcome, LegResult } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptRecord, LegState } from './active-query.js';
import { cancelAttempts, markAttemptEnded, finishIfDone } from './finish-query.js';
import { hedgeWhenNearlyComplete } from './hedge-legs.js';
import { recordAnswered, recordFailed } from './record-outcome.js';
import { retryLegs } from './retry-legs.js';

type Answered = Extract<AttemptOutcome, { type: 'answered' }>;
type Failed = Exclude<AttemptOutcome, { type: 'answered' }>;

/** Legs of one query that need another attempt. */
type FailedLegs = Map<ActiveQuery, LegState[]>;

const countUnmatched = (state: CoreState, result: LegResult): void => {
  if (result.attempt.startsWith(state.query.identifierPrefix)) {
    state.counters.answers_late += 1;
  } else {
    state.counters.answers_foreign += 1;
  }
};

/** Finds the outstanding attempt of this feeder that a result belongs to; counts a result without one. */
const findAwaited = (
  state: CoreState,
  from: NodeId,
  result: LegResult,
): AttemptRecord | undefined => {
  const record = state.query.attempts.get(result.attempt);
  if (record === undefined) {
    countUnmatched(state, result);
    return undefined;
  }
  if (record.feeder.node !== from) {
    state.counters.answers_foreign += 1;
    return undefined;
  }
  if (record.ended) {
    state.counters.answers_doubled += 1;
    return undefined;
  }
  return record;
};

/** Whether an answer carries its attempt's request, shard and snapshot; counts a mismatch. */
const matchesAttempt = (state: CoreState, record: AttemptRecord, answer: Answered): boolean => {
  const { query, leg } = record;
  if (answer.request !== query.request || answer.shard !== leg.shard.shard) {
    state.counters.answers_foreign += 1;
    return false;
  }
  if (answer.snapshot !== query.context.snapshot) {
    state.counters.answers_wrong_snapshot += 1;
    return false;
  }
  return true;
};

/** Lists the attempts to cancel once a leg is answered; probes continue, as their result is of use. */
const listCancellable = (leg: LegState): AttemptRecord[] =>
  leg.attempts.filter((record) => !record.ended && record.purpose !== 'probe');

const applyAnswer = (
  state: CoreState,
  record: AttemptRecord,
  answer: Answered,
  at: number,
  effects: Effect[],
): void => {
  const { query, leg } = record;
  if (leg.status !== 'open') {
    state.counters.answers_doubled += 1;
    return;
  }
  leg.status = 'answered';
  query.open -= 1;
  query.contributed += 1;
  query.merge.add(leg.index, answer.items);
  if (leg.attempts.length > 1) {
    cancelAttempts(state, listCancellable(leg), at, effects);
  }
};

const BAD_ANSWER: Failed = { type: 'unknown', reason: 'bad-answer' };

const countFailure = (state: CoreState, outcome: Failed): void => {
  if (outcome.type === 'not-run' && outcome.reason === 'shedding') {
    state.counters.replica_sheds += 1;
    return;
  }
  state.counters.replica_failures += 1;
  if (outcome.reason === 'bad-answer') {
    state.counters.answers_malformed += 1;
  }
};

const applyFailure = (record: AttemptRecord, outcome: Failed, failed: FailedLegs): void => {
  const { query, leg } = record;
  leg.reason = outcome.reason;
  if (outcome.type === 'unknown') {
    leg.mayHaveRun = true;
  }
  if (leg.status !== 'open' || leg.outstanding > 0) {
    return;
  }
  const legs = failed.get(query);
  if (legs === undefined) {
    failed.set(query, [leg]);
  } else {
    legs.push(leg);
  }
};

/** Handles the result of a probe whose query has ended: it only updates what is observed of the replica. */
const handleLateProbeResult = (
  state: CoreState,
  record: AttemptRecord,
  result: LegResult,
  at: number,
  effects: Effect[],
): void => {
  const { outcome } = result;
  state.query.attempts.delete(record.attempt);
  if (outcome.type !== 'answered') {
    recordFailed(state, record, outcome, at, effects);
  } else if (matchesAttempt(state, record, outcome)) {
    recordAnswered(state, record, result, outcome, at, effects);
  } else {
    recordFailed(state, record, BAD_ANSWER, at, effects);
  }
};

/**
 * Handles results reported by a feeder, which may be this node itself.
 *
 * @param from - the feeder; a result is discarded if its attempt went to another feeder
 */
export const gatherAnswers = (
  state: CoreState,
  from: NodeId,
  results: readonly LegResult[],
  at: number,
  effects: Effect[],
): void => {
  const updatedQueries = new Set<ActiveQuery>();
  const failed: FailedLegs = new Map();
  for (const result of results) {
    const record = findAwaited(state, from, result);
    if (record === undefined) {
      continue;
    }
    markAttemptEnded(state, record, at);
    const { outcome } = result;
    if (record.purpose === 'probe' && !state.query.queries.has(record.query.request)) {
      handleLateProbeResult(state, record, result, at, effects);
      continue;
    }
    updatedQueries.add(record.query);
    if (outcome.type !== 'answered') {
      countFailure(state, outcome);
      recordFailed(state, record, outcome, at, effects);
      applyFailure(record, outcome, failed);
    } else if (matchesAttempt(state, record, outcome)) {
      recordAnswered(state, record, result, outcome, at, effects);
      applyAnswer(state, record, outcome, at, effects);
    } else {
      recordFailed(state, record, BAD_ANSWER, at, effects);
      applyFailure(record, BAD_ANSWER, failed);
    }
  }
  for (const [query, legs] of failed) {
    retryLegs(state, query, legs, at, effects);
  }
  for (const query of updatedQueries) {
    if (!finishIfDone(state, query, at, effects)) {
      hedgeWhenNearlyComplete(state, query, at, effects);
    }
  }
};
