/** Applies the end of an attempt to its replica and its leg. */
import type { AttemptEnded } from '../event.js';
import {
  type Replica,
  recordLatency,
  recordLoad,
  recordReplicaFailure,
  recordUnfinished,
} from '../replicas/replica.js';
import { hasWaiting } from '../scheduling/wait-for-room.js';
import type { GatewayState } from '../state.js';
import { traitsOf } from './attempt-problems.js';
import { FIRST_FAILURE_STATUS } from './usable-answer.js';
import type { ActiveAttempt } from './request-state.js';
import { addLatency } from './route-latency.js';

const applyToReplica = (
  state: GatewayState,
  attempt: ActiveAttempt,
  replica: Replica,
  { result, at }: AttemptEnded,
): void => {
  switch (result.type) {
    case 'answered': {
      recordLoad(replica, result.load, at);
      recordAnswer(state, attempt, replica, result.answer.status, at);
      return;
    }
    case 'refused':
      recordLoad(replica, result.load, at);
      recordReplicaFailure(replica, at);
      return;
    case 'failed':
      if (result.problem === 'aborted' && result.mayHaveRun) {
        recordAborted(state, attempt, replica, at);
      }
      if (traitsOf(result.problem).isReplicaFailure) {
        recordReplicaFailure(replica, at);
      }
  }
};

/** Records the unfinished duration of an attempt that this gateway aborted, as a sample for its replica. */
const recordAborted = (
  state: GatewayState,
  attempt: ActiveAttempt,
  replica: Replica,
  at: number,
): void => {
  const latency = state.latencies.get(attempt.route);
  if (latency !== undefined) {
    recordUnfinished(replica, (at - attempt.sentAt) / latency.median, at);
  }
};

const recordAnswer = (
  state: GatewayState,
  attempt: ActiveAttempt,
  replica: Replica,
  status: number,
  at: number,
): void => {
  if (status >= FIRST_FAILURE_STATUS) {
    recordReplicaFailure(replica, at);
    return;
  }
  const latency = state.latencies.get(attempt.route);
  if (latency !== undefined) {
    const elapsedMs = at - attempt.sentAt;
    recordLatency(replica, elapsedMs / latency.median, at);
    addLatency(latency, elapsedMs, attempt.isPrompt);
  }
};

/** Removes an ended attempt from the state and applies its result; undefined if the attempt is unknown. */
export const settleAttempt = (
  state: GatewayState,
  event: AttemptEnded,
): ActiveAttempt | undefined => {
  const attempt = state.attempts.get(event.attempt);
  if (attempt === undefined) {
    return undefined;
  }
  state.attempts.delete(attempt.id);
  attempt.leg.running.delete(attempt.id);
  if (hasWaiting(state, attempt.leg.service)) {
    state.scheduling.changed.add(attempt.leg.service);
  }
  applyToLeg(attempt, event);
  const replica = state.replicas.find(attempt.replica);
  if (replica !== undefined) {
    replica.pending.delete(attempt.id);
    applyToReplica(state, attempt, replica, event);
  }
  return attempt;
};

/**
 * Corrects the counts of the leg for an attempt that did not arrive or was not run. A connection that is reset before any
 * answer usually means that the replica had too many connections. That does not prove that the request has not run, so a
 * refusal must not state it; a repeatable request is retried nevertheless.
 */
const applyToLeg = (attempt: ActiveAttempt, { result }: AttemptEnded): void => {
  const { leg, repeatable, replica } = attempt;
  const hasNotRun = result.type === 'refused' || (result.type === 'failed' && !result.mayHaveRun);
  if (hasNotRun && leg.unsharedReplica === replica) {
    leg.unsharedReplica = undefined;
  }
  if (result.type === 'refused') {
    leg.runs -= 1;
    leg.refusedAsFull = result.reason === 'full';
  }
  if (result.type !== 'failed') {
    return;
  }
  if (!result.mayHaveRun) {
    leg.runs -= 1;
    leg.arrivals -= 1;
    return;
  }
  leg.mayHaveRun = true;
  if (repeatable && !traitsOf(result.problem).countsAsRun) {
    leg.runs -= 1;
  }
};
