/** Updates this node's observations of replicas from the outcomes of attempts. */
import type { AttemptOutcome, LegResult } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import { recordReplicaLeaving } from '../membership/replica-rumours.js';
import type { CoreState } from '../state.js';
import type { AttemptRecord } from './active-query.js';
import { addRatio } from './latency-histogram.js';
import { recordReplicaUnknown } from './peer-observation.js';
import { invalidatePlans } from './build-query-plan.js';
import { recordCongestion, recordLegWait } from './overload-limit.js';
import {
  recordAnswer,
  recordCancelledAttempt,
  recordFailure,
  recordUnsentAttempt,
  recordSnapshotRefused,
  recordInconclusive,
  recordShed,
} from './record-observation.js';

type Answered = Extract<AttemptOutcome, { type: 'answered' }>;
type Failed = Exclude<AttemptOutcome, { type: 'answered' }>;

/** Records an answer and its latency. */
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
  recordLegWait(record.query.observed.overload, record.query.row, result.queuedMs, at);
  addRatio(record.query.observed.ratios, latencyMs / observed.service.latencyMs);
  const { queuedMs, serviceMs, backlogMs = 0 } = result;
  const timing = { latencyMs, queuedMs, serviceMs, backlogMs };
  recordAnswer(observed, timing, answer.load, status.slots, at);
  if (answer.leaving === true) {
    effects.push(...recordReplicaLeaving(state, status.replica, at));
  }
};

/** Records a failure caused by a feeder that does not know the replica, not by the replica. */
const recordFeederFailure = (
  state: CoreState,
  { feeder }: AttemptRecord,
  { reason }: Failed,
  at: number,
): void => {
  if (reason === 'unknown-replica') {
    recordReplicaUnknown(state.query.peers, feeder.node, at);
  }
};

/** Records a failed attempt. */
export const recordFailed = (
  state: CoreState,
  record: AttemptRecord,
  outcome: Failed,
  at: number,
  effects: Effect[],
): void => {
  const { observed, status } = record.target;
  recordFeederFailure(state, record, outcome, at);
  switch (outcome.reason) {
    case 'shedding': {
      const { retryAfterMs } = outcome as Extract<Failed, { type: 'not-run' }>;
      recordShed(observed, retryAfterMs, state.random, at);
      break;
    }
    case 'queue-full':
    case 'deadline-passed':
      recordCongestion(record.query.observed.overload, at);
      recordInconclusive(observed);
      break;
    case 'snapshot-gone':
    case 'unknown-shard':
      if (recordSnapshotRefused(observed, record.target.snapshot, at)) {
        invalidatePlans(state);
      }
      break;
    case 'leaving': {
      const { retryAfterMs } = outcome as Extract<Failed, { type: 'not-run' }>;
      recordInconclusive(observed);
      effects.push(...recordReplicaLeaving(state, status.replica, at, retryAfterMs));
      break;
    }
    case 'connect-failed':
      recordFailure(observed, true, state.random, at);
      break;
    case 'not-answering':
      record.unsent = true;
      recordUnsentAttempt(observed, state.random, at);
      break;
    case 'timed-out':
      recordTruncatedLatency(record, at);
      recordFailure(observed, false, state.random, at);
      break;
    case 'connection-lost':
    case 'bad-answer':
    case 'server-error':
      recordFailure(observed, false, state.random, at);
      break;
    default:
      recordInconclusive(observed);
  }
};

/** Estimated full latency of a late attempt that was cut short, as a multiple of its duration so far. */
const TRUNCATED_LATENCY_FACTOR = 2;

/**
 * Records the estimated latency of a late attempt that was cut short. Without this sample, hedges would
 * hide the slow answers they are meant for, and hedging would seem to have no benefit.
 */
const recordTruncatedLatency = (record: AttemptRecord, at: number): void => {
  const ratio = (at - record.sentAt) / record.target.observed.service.latencyMs;
  if (ratio > 1) {
    addRatio(record.query.observed.ratios, ratio * TRUNCATED_LATENCY_FACTOR);
  }
};

/** Records an attempt that its coordinator has cancelled. */
export const recordCancelled = (state: CoreState, record: AttemptRecord, at: number): void => {
  recordTruncatedLatency(record, at);
  recordCancelledAttempt(record.target.observed, record.sentAt, state.random, at);
};
