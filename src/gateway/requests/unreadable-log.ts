/** Limits the rate of log lines about each problem of unreadable requests. */

/**
 * Shortest interval between two log lines about one problem, in milliseconds. It corresponds to a tenth of the lines that
 * a gateway may write, so that a caller that only sends unreadable requests cannot displace other lines.
 */
const LOG_INTERVAL_MS = 100;

/** Log state of one problem. */
export interface UnreadableLog {
  readonly loggedAt: number;
  /** Number of refusals since then that were not logged. */
  readonly unlogged: number;
}

/** Log state before the first line. */
export const NOTHING_LOGGED: UnreadableLog = { loggedAt: Number.NEGATIVE_INFINITY, unlogged: 0 };

/** Whether a line may be written now. */
export const mayLog = ({ loggedAt }: UnreadableLog, at: number): boolean =>
  at - loggedAt >= LOG_INTERVAL_MS;
