/**
 * How long to wait for a new connection to a replica, from how long others took. A replica that has gone
 * dark answers nothing; an attempt that waits for a connection to it keeps its part of a gather open and
 * may use up the replicas that the request may be sent to, though it was never sent.
 */
import { createDelayEstimate, recordDelay, overdueAfterMs } from '../delay-estimate.js';

/**
 * Bounds of the wait, in milliseconds. A replica that is ten times slower than usual, and works on two
 * requests before it takes a new connection, needs the shortest; an opening packet that was lost is sent
 * again after a second.
 */
const MIN_TIMEOUT_MS = 250;
const MAX_TIMEOUT_MS = 1_000;

/** Connections that must have opened before the wait is taken from them. */
const MIN_SAMPLES = 8;

/** The wait for new connections of one process. */
export class ConnectTimeout {
  private readonly delay = createDelayEstimate();
  private samples = 0;

  /** A connection has opened after `elapsedMs`. */
  recordConnect(elapsedMs: number): void {
    this.samples += 1;
    recordDelay(this.delay, elapsedMs);
  }

  /** Time after which a connection is given up, in milliseconds. */
  get timeoutMs(): number {
    const usual = this.samples < MIN_SAMPLES ? MAX_TIMEOUT_MS : overdueAfterMs(this.delay);
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, usual));
  }
}
