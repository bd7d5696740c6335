/** Takes note of how attempts at replicas end. */
import type { AttemptEnded } from '../event.js';
import type { AttemptProblem } from '../model/request.js';
import {
  type Replica,
  recordLatency,
  recordLoad,
  recordReplicaFailure,
  recordUnfinished,
} from '../replicas/replica.js';
import type { GatewayState } from '../state.js';
import { FIRST_FAILURE_STATUS } from './good-answer.js';
import type { ActiveAttempt } from './request-state.js';
import { addLatency } from './route-latency.js';

/** Problems that say nothing about the replica's health. */
const HARMLESS_PROBLEMS: ReadonlySet<AttemptProblem> = new Set<AttemptProblem>([
  'aborted',
  'foreign-answer',
  'refused-connection',
]);

const noteAtReplica = (
  state: GatewayState,
  attempt: ActiveAttempt,
  replica: Replica,
  { result, at }: AttemptEnded,
): void => {
  switch (result.type) {
    case 'answered': {
      recordLoad(replica, result.load, at);
      noteAnswer(state, attempt, replica, result.answer.status, at);
      return;
    }
    case 'refused':
      recordLoad(replica, result.load, at);
      recordReplicaFailure(replica, at);
      return;
    case 'failed':
      if (result.problem === 'aborted' && result.mayHaveRun) {
        noteGivenUp(state, attempt, replica, at);
      }
      if (!HARMLESS_PROBLEMS.has(result.problem)) {
        recordReplicaFailure(replica, at);
      }
  }
};

/** What an attempt that was sent and not waited for says of its replica. */
const noteGivenUp = (
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

const noteAnswer = (
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
    addLatency(latency, elapsedMs);
  }
};

/** Takes an ended attempt out of the state, and notes what it says of its replica. */
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
  countOutcome(attempt, event);
  const replica = state.replicas.find(attempt.replica);
  if (replica !== undefined) {
    replica.pending.delete(attempt.id);
    noteAtReplica(state, attempt, replica, event);
  }
  return attempt;
};

/**
 * An attempt that did not arrive, or was not run, is taken off the counts again. A connection that
 * is reset before any answer on it is mostly one too many for its replica: nothing says that the request has not
 * run, and no refusal may, but one that may be repeated is tried again.
 */
const countOutcome = (attempt: ActiveAttempt, { result }: AttemptEnded): void => {
  const { leg, repeatable, replica } = attempt;
  const hasNotRun = result.type === 'refused' || (result.type === 'failed' && !result.mayHaveRun);
  if (hasNotRun && leg.ownChoice === replica) {
    leg.ownChoice = undefined;
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
  if (result.problem === 'refused-connection' && repeatable) {
    leg.runs -= 1;
  }
};
