/** Bounds the lines about one problem of what callers sent that is no request. */

/**
 * Least time between two lines about one problem, in milliseconds: a tenth of the lines that a gateway may
 * write, so that a caller that sends nothing else leaves room for the others.
 */
const LOG_INTERVAL_MS = 100;

/** What was logged lately of one problem. */
export interface UnreadableLog {
  readonly loggedAt: number;
  /** Refused since then without a line. */
  readonly unlogged: number;
}

/** What was logged before the first line. */
export const NOTHING_LOGGED: UnreadableLog = { loggedAt: Number.NEGATIVE_INFINITY, unlogged: 0 };

/** Whether the next line may be written. */
export const mayLog = ({ loggedAt }: UnreadableLog, at: number): boolean =>
  at - loggedAt >= LOG_INTERVAL_MS;
