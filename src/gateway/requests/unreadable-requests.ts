/** Counts and logs input from callers that the callers' port has refused as it is no request, or ignored. */
import type { GatewayEffect } from '../effect.js';
import type { RequestIgnored, UnreadableRefused } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { mayLog, NOTHING_LOGGED } from './unreadable-log.js';

/** Handles `unreadable-refused`. */
export const handleUnreadableRefused = (
  { counters, unreadableLogs }: GatewayState,
  { problem, status, detail, from, at }: UnreadableRefused,
): GatewayEffect[] => {
  counters.requests.add('', problem);
  const log = unreadableLogs.get(problem) ?? NOTHING_LOGGED;
  const { unlogged } = log;
  if (!mayLog(log, at)) {
    unreadableLogs.set(problem, { ...log, unlogged: unlogged + 1 });
    return [];
  }
  unreadableLogs.set(problem, { loggedAt: at, unlogged: 0 });
  const change: StateChange = {
    event: 'request-unreadable',
    problem,
    status,
    detail,
    from,
    unlogged,
  };
  return [{ type: 'write-log', level: 'warn', part: 'caller', change }];
};

/** Handles `request-ignored`. */
export const handleRequestIgnored = (
  state: GatewayState,
  { requestId, at }: RequestIgnored,
): GatewayEffect[] => {
  const { unlogged } = state.ignoredRequestLog;
  if (!mayLog(state.ignoredRequestLog, at)) {
    state.ignoredRequestLog = { ...state.ignoredRequestLog, unlogged: unlogged + 1 };
    return [];
  }
  state.ignoredRequestLog = { loggedAt: at, unlogged: 0 };
  const change: StateChange = { event: 'request-ignored', requestId, unlogged };
  return [{ type: 'write-log', level: 'info', part: 'caller', change }];
};
