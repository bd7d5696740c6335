/**
 * Derives the connect timeout for replicas from the durations of previous connects. An unreachable replica does not
 * answer at all. An attempt that waits for a connection to it delays its part of a gather and may use up the replicas
 * to which the request may be sent, although it was never sent.
 */
import { createDelayEstimate, recordDelay, overdueAfterMs } from '../delay-estimate.js';

/**
 * Bounds of the timeout, in milliseconds. The minimum suffices for a replica that is ten times slower than usual and
 * finishes two requests before it accepts a connection. The maximum is the time after which TCP resends a lost SYN.
 */
const MIN_TIMEOUT_MS = 250;
const MAX_TIMEOUT_MS = 1_000;

/** Number of connects that must be recorded before the timeout is derived from them. */
const MIN_SAMPLES = 8;

/** The connect timeout of one process, shared by all replicas. */
export class ConnectTimeout {
  private readonly delay = createDelayEstimate();
  private samples = 0;

  /** Records that a connection opened after `elapsedMs`. */
  recordConnect(elapsedMs: number): void {
    this.samples += 1;
    recordDelay(this.delay, elapsedMs);
  }

  /** Time after which a connection attempt fails, in milliseconds. */
  get timeoutMs(): number {
    const usual = this.samples < MIN_SAMPLES ? MAX_TIMEOUT_MS : overdueAfterMs(this.delay);
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, usual));
  }
}
