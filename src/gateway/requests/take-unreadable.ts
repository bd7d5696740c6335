/** Counts and logs what callers sent that is no request; the callers' port has refused it. */
import type { GatewayEffect } from '../effect.js';
import type { UnreadableRefused } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';

/** What was logged lately of one problem. */
export interface UnreadableLog {
  readonly loggedAt: number;
  /** Refused since then without a line. */
  readonly unlogged: number;
}

/**
 * Least time between two lines about one problem, in milliseconds: a tenth of the lines that a gateway may
 * write, so that a caller that sends nothing else leaves room for the others.
 */
const LOG_INTERVAL_MS = 100;

/** Handles `unreadable-refused`. */
export const takeUnreadable = (
  { counters, unreadableLogs }: GatewayState,
  { problem, status, detail, from, at }: UnreadableRefused,
): GatewayEffect[] => {
  counters.requests.add('', problem);
  const { loggedAt, unlogged } = unreadableLogs.get(problem) ?? {
    loggedAt: Number.NEGATIVE_INFINITY,
    unlogged: 0,
  };
  if (at - loggedAt < LOG_INTERVAL_MS) {
    unreadableLogs.set(problem, { loggedAt, unlogged: unlogged + 1 });
    return [];
  }
  unreadableLogs.set(problem, { loggedAt: at, unlogged: 0 });
  const change: BeliefChange = {
    event: 'request-unreadable',
    problem,
    status,
    detail,
    from,
    unlogged,
  };
  return [{ type: 'write-log', level: 'warn', part: 'caller', change }];
};
