/** Bounds and defaults of limits that hold over all nodes together. */
import { CLOCK_RATE_MARGIN } from '../keepers/keeper-timing.js';

/** How long a grant may be used, in milliseconds; it outlasts the loss of a holder. */
export const GRANT_MS = 8_000;

/** How long a holder's lease runs without renewal, in milliseconds. */
export const LEASE_MS = 2_000;

/** A lease is renewed when less than this is left of it, in milliseconds. */
export const LEASE_RENEW_BEFORE_MS = 1_300;

/** How long a request for votes may stay unanswered, in milliseconds. */
export const VOTE_TIMEOUT_MS = 400;

/** How long a request for a grant may stay unanswered, in milliseconds. */
export const GRANT_TIMEOUT_MS = 800;

/** How often a node looks after the limits it uses or holds, in milliseconds. */
export const REFRESH_MS = 250;

/** How often it looks while there are none, in milliseconds. */
export const IDLE_REFRESH_MS = 1_000;

/**
 * Most grantees that ask one holder by choice; beyond them the nodes of a zone, or groups of them, ask
 * one of their own. As many cost a holder 2 KB/s at most while the demand is steady.
 */
export const MOST_ASKERS = 24;

/** How often a grant is renewed that does not meet the demand, in milliseconds. */
export const RENEW_MS = 1_000;

/** A grant that meets the demand is renewed after this share of its time. */
export const RENEW_SHARE = 1 / 3;

/** How often a grant kept without demand is renewed, in milliseconds. */
export const RENEW_IDLE_MS = 3_000;

/** Least time between two requests that a refused query brings about, in milliseconds. */
export const RENEW_URGENT_MS = 100;

/** Growth of the demand, as a factor, for which a node asks ahead of time. */
export const URGENT_GROWTH = 1.5;

/** Up to this many nodes, a limit is divided anew as soon as another one asks. */
export const REBALANCE_AT_ONCE_NODES = 64;

/** How long a limit without a query counts as in demand, in milliseconds. */
export const IDLE_AFTER_MS = 10_000;

/** Up to this many live members, grants are kept for rows without demand too. */
export const IDLE_GRANT_MAX_MEMBERS = 64;

/** Share of an earlier demand that is still asked for at the next request. */
export const DEMAND_DECAY = 0.7;

/** Length of the burst a limit per second allows a node, in seconds of its slice. */
export const BURST_SECONDS = 0.1;

/** When a refused caller may come back if the limit has room elsewhere, in milliseconds. */
export const RETRY_AFTER_MS = 100;

/** Longest that a refused caller is told to wait, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 2_000;

/** Lengthens a time so that it has passed on every clock once it has on this one. */
export const withRateMargin = (durationMs: number): number =>
  Math.ceil(durationMs * (1 + CLOCK_RATE_MARGIN));
