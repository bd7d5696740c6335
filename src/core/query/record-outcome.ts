/** Feeds the ends of attempts into what this node observes of replicas. */
import type { AttemptOutcome, LegResult } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import { recordReplicaLeaving } from '../membership/replica-rumours.js';
import type { CoreState } from '../state.js';
import type { AttemptRecord } from './active-query.js';
import { addRatio } from './latency-histogram.js';
import { recordUnaware } from './peer-observation.js';
import { invalidatePlans } from './build-query-plan.js';
import { noteCongestion, noteWait } from './overload-limit.js';
import {
  recordAnswer,
  recordCalledOff,
  recordFailure,
  recordHeldBack,
  recordLacking,
  recordNeutral,
  recordShed,
} from './record-observation.js';

type Answered = Extract<AttemptOutcome, { type: 'answered' }>;
type Failed = Exclude<AttemptOutcome, { type: 'answered' }>;

/** Notes an answer and how long it took. */
export const recordAnswered = (
  state: CoreState,
  record: AttemptRecord,
  result: LegResult,
  answer: Answered,
  at: number,
  effects: Effect[],
): void => {
  const { observed, status } = record.target;
  const latencyMs = at - record.sentAt - (result.heldMs ?? 0);
  noteWait(record.query.observed.overload, record.query.row, result.queuedMs, at);
  addRatio(record.query.observed.ratios, latencyMs / observed.service.latencyMs);
  const { queuedMs, serviceMs, backlogMs = 0 } = result;
  const timing = { latencyMs, queuedMs, serviceMs, backlogMs };
  recordAnswer(observed, timing, answer.load, status.slots, at);
  if (answer.leaving === true) {
    effects.push(...recordReplicaLeaving(state, status.replica, at));
  }
};

/** A feeder that does not know the replica is to blame for the failure, not the replica. */
const noteFeeder = (
  state: CoreState,
  { feeder }: AttemptRecord,
  { reason }: Failed,
  at: number,
): void => {
  if (reason === 'unknown-replica') {
    recordUnaware(state.query.peers, feeder.node, at);
  }
};

/** Notes a failed attempt. */
export const recordFailed = (
  state: CoreState,
  record: AttemptRecord,
  outcome: Failed,
  at: number,
  effects: Effect[],
): void => {
  const { observed, status } = record.target;
  noteFeeder(state, record, outcome, at);
  switch (outcome.reason) {
    case 'shedding': {
      const { retryAfterMs } = outcome as Extract<Failed, { type: 'not-run' }>;
      recordShed(observed, retryAfterMs, state.random, at);
      break;
    }
    case 'queue-full':
    case 'deadline-passed':
      noteCongestion(record.query.observed.overload, at);
      recordNeutral(observed);
      break;
    case 'snapshot-gone':
    case 'unknown-shard':
      if (recordLacking(observed, record.target.snapshot, at)) {
        invalidatePlans(state);
      }
      break;
    case 'leaving': {
      const { retryAfterMs } = outcome as Extract<Failed, { type: 'not-run' }>;
      recordNeutral(observed);
      effects.push(...recordReplicaLeaving(state, status.replica, at, retryAfterMs));
      break;
    }
    case 'connect-failed':
      recordFailure(observed, true, state.random, at);
      break;
    case 'not-answering':
      record.heldBack = true;
      recordHeldBack(observed, state.random, at);
      break;
    case 'timed-out':
      recordCutShort(record, at);
      recordFailure(observed, false, state.random, at);
      break;
    case 'connection-lost':
    case 'bad-answer':
    case 'server-error':
      recordFailure(observed, false, state.random, at);
      break;
    default:
      recordNeutral(observed);
  }
};

/** A late attempt that was cut short is taken to have lasted this many times as long. */
const CUT_SHORT_FACTOR = 2;

/**
 * Notes how long a late attempt had lasted when it was cut short. Without it a hedge would hide the
 * slow answers that it is there for, and hedging would seem not to pay.
 */
const recordCutShort = (record: AttemptRecord, at: number): void => {
  const ratio = (at - record.sentAt) / record.target.observed.service.latencyMs;
  if (ratio > 1) {
    addRatio(record.query.observed.ratios, ratio * CUT_SHORT_FACTOR);
  }
};

/** Notes an attempt that its coordinator has called off. */
export const recordCancelled = (state: CoreState, record: AttemptRecord, at: number): void => {
  recordCutShort(record, at);
  recordCalledOff(record.target.observed, record.sentAt, state.random, at);
};
