/** Intervals and timeouts of links, all in milliseconds. */
export interface LinkTiming {
  /** Interval at which all links are checked. */
  readonly sweepIntervalMs: number;
  /** A check is skipped if the previous one is longer ago than this, as the process was paused. */
  readonly processPauseMs: number;
  /** A link sends a heartbeat if it has sent nothing for this time. */
  readonly heartbeatIntervalMs: number;
  /** A link that has received nothing for this time is considered half-open and is closed. */
  readonly receiveTimeoutMs: number;
  /** A link without messages for this time is closed. */
  readonly idleCloseMs: number;
  /** Maximum time to connect and authenticate. */
  readonly handshakeTimeoutMs: number;
}

/** The intervals and timeouts of a node. */
export const DEFAULT_LINK_TIMING: LinkTiming = {
  sweepIntervalMs: 500,
  processPauseMs: 1_500,
  heartbeatIntervalMs: 1_000,
  receiveTimeoutMs: 3_500,
  idleCloseMs: 30_000,
  handshakeTimeoutMs: 2_000,
};
