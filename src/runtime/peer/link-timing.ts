/** Times of links, all in milliseconds. */
export interface LinkTiming {
  /** How often links are looked over. */
  readonly sweepIntervalMs: number;
  /** Links are not judged right after this process itself stood still for this long. */
  readonly processPauseMs: number;
  /** A link on which nothing was sent for this long sends a heartbeat. */
  readonly heartbeatIntervalMs: number;
  /** A link from which nothing came for this long is taken for half-open. */
  readonly receiveTimeoutMs: number;
  /** A link without messages for this long is closed. */
  readonly idleCloseMs: number;
  /** Longest time to connect and authenticate. */
  readonly handshakeTimeoutMs: number;
}

/** The times of a node. */
export const DEFAULT_LINK_TIMING: LinkTiming = {
  sweepIntervalMs: 500,
  processPauseMs: 1_500,
  heartbeatIntervalMs: 1_000,
  receiveTimeoutMs: 3_500,
  idleCloseMs: 30_000,
  handshakeTimeoutMs: 2_000,
};
