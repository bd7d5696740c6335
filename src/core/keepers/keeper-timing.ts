/** Limits and intervals of keepers and their rosters. */

/** Length of the period of one roster, in milliseconds. */
export const PERIOD_MS = 600_000;

/** Number of rosters written ahead; claims continue during a store outage of this many periods. */
export const PERIODS_AHEAD = 36;

/** Maximum number of keepers in a roster. */
export const MAX_ROSTER_SIZE = 256;

/** Number of keepers of one subject (a key, a limit); three of them are a majority. */
export const KEEPERS_PER_SUBJECT = 5;

/** Minimum time between the start of a node and its first roster write, in milliseconds. */
export const ROSTER_SETTLE_MS = 1_500;

/** Interval at which a node checks whether rosters must be written, in milliseconds. */
export const ROSTER_CHECK_MS = 1_000;

/** Time after which a write that has not come into force is retried, in milliseconds. */
export const ROSTER_RETRY_MS = 5_000;

/**
 * Interval between two rosters written ahead, in milliseconds; those needed now are not delayed.
 */
export const ROSTER_SPACING_MS = 60_000;

/** Maximum difference between the wall clocks of two nodes, in milliseconds. */
export const CLOCK_MARGIN_MS = 2_000;

/** Maximum relative difference between the rates of the monotonic clocks of two nodes. */
export const CLOCK_RATE_MARGIN = 0.01;
