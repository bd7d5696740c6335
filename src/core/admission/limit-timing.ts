/** Time limits and sizes for limits that apply to all nodes together. */
import { CLOCK_RATE_MARGIN } from '../keepers/keeper-timing.js';

/** Validity of a grant, in milliseconds; long enough to outlast the loss of a holder. */
export const GRANT_MS = 8_000;

/** Duration of a holder's lease without renewal, in milliseconds. */
export const LEASE_MS = 2_000;

/** Remaining time below which a lease is renewed, in milliseconds. */
export const LEASE_RENEW_BEFORE_MS = 1_300;

/** Timeout of a request for votes, in milliseconds. */
export const VOTE_TIMEOUT_MS = 400;

/** Timeout of a request for a grant, in milliseconds. */
export const GRANT_TIMEOUT_MS = 800;

/** Interval at which a node refreshes the limits that it uses or holds, in milliseconds. */
export const REFRESH_MS = 250;

/** Interval of the refresh while there are no limits, in milliseconds. */
export const IDLE_REFRESH_MS = 1_000;

/**
 * Maximum number of grantees that send their requests to one holder by design. Beyond it, the nodes of
 * a zone, or of a group within it, request grants from a divider among themselves. This number
 * costs a holder at most 2 KB/s while the demand is steady.
 */
export const MAX_REQUESTERS = 24;

/** Renewal interval of a grant below the demand, in milliseconds. */
export const RENEW_MS = 1_000;

/** A grant that meets the demand is renewed after this share of its validity. */
export const RENEW_SHARE = 1 / 3;

/** Minimum interval between renewals of a grant that is kept without demand, in milliseconds. */
export const RENEW_IDLE_MS = 3_000;

/** Minimum time between two grant requests caused by refused queries, in milliseconds. */
export const RENEW_URGENT_MS = 100;

/** Factor of demand growth above which a node requests a grant before its renewal is due. */
export const URGENT_GROWTH = 1.5;

/** Maximum number of grantees for which a limit is rebalanced as soon as a new one requests a grant. */
export const REBALANCE_AT_ONCE_NODES = 64;

/** Time without a query after which a limit is no longer in demand, in milliseconds. */
export const IDLE_AFTER_MS = 10_000;

/** Maximum number of members up to which grants are also kept for rows without demand. */
export const IDLE_GRANT_MAX_MEMBERS = 64;

/** Minimum demand of the next request, as a share of the previous one. */
export const DEMAND_DECAY = 0.7;

/** Size of the burst that a limit per second allows a node, in seconds of its slice. */
export const BURST_SECONDS = 0.1;

/** Base retry delay of a caller refused by a concurrent limit or for lack of a grant, in milliseconds. */
export const RETRY_AFTER_MS = 100;

/** Maximum retry delay that a refused caller is given, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 2_000;

/** Extends a duration in milliseconds, so that once it has passed on this clock it has passed on all. */
export const withRateMargin = (durationMs: number): number =>
  Math.ceil(durationMs * (1 + CLOCK_RATE_MARGIN));
