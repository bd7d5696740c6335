/** Counts and logs answers of replicas that are malformed, endless, or given up to save memory. */
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { traitsOf } from './attempt-problems.js';
import type { ActiveAttempt } from './request-state.js';
import { mayLog, NOTHING_LOGGED } from './unreadable-log.js';

/** Counts an answer that cannot be used, and logs it unless another one was logged just before for the same problem. */
export const recordUnreadableAnswer = (
  { counters, unreadableAnswerLogs }: GatewayState,
  { leg: { service }, replica, sentAt }: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] => {
  if (result.type !== 'failed' || !traitsOf(result.problem).isUnreadableAnswer) {
    return [];
  }
  const { problem } = result;
  counters.unreadableAnswers.add(service, problem);
  const log = unreadableAnswerLogs.get(problem) ?? NOTHING_LOGGED;
  const { unlogged } = log;
  if (!mayLog(log, at)) {
    unreadableAnswerLogs.set(problem, { ...log, unlogged: unlogged + 1 });
    return [];
  }
  unreadableAnswerLogs.set(problem, { loggedAt: at, unlogged: 0 });
  const elapsedMs = Math.round(at - sentAt);
  const event = 'answer-unreadable';
  const change: StateChange = { event, replica, service, problem, elapsedMs, unlogged };
  return [{ type: 'write-log', level: 'warn', part: 'replica', change }];
};
