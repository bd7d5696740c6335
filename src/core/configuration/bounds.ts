/** Limits and intervals of the configuration slice. Times are in milliseconds. */

/** Number of nodes in each zone that watch the store. */
export const READERS_PER_ZONE = 2;
/** How often a node that has begun to serve checks whether its role has changed. */
export const ROLE_CHECK_MS = 500;
/** How often a starting node checks whether its role has changed. */
export const START_CHECK_MS = 50;
/** Number of peers to which a node forwards a push. */
export const PUSH_FAN_OUT = 4;
/** Maximum estimated size of the objects in one push or page; a single object may exceed it. */
export const PAGE_BYTES = 256 * 1024;
/** Maximum number of objects in one push or page. */
export const PAGE_OBJECTS = 256;
/** Minimum delay between learning of a newer revision and pulling it; the push may arrive first. */
export const MIN_PULL_DELAY_MS = 50;
/** Maximum of that delay, which is chosen at random between the two. */
export const MAX_PULL_DELAY_MS = 250;
/** Timeout of a pull. */
export const PULL_TIMEOUT_MS = 1_000;
/** Minimum delay before the watch is retried. */
export const MIN_WATCH_RETRY_MS = 1_000;
/** A reader that receives a hint retries the store after a random delay below this. */
export const HINT_JITTER_MS = 200;
/**
 * After the store answers a reader again, the reader sends it no deferrable requests for this long.
 */
export const RECOVERY_QUIET_MS = 1_000;
/** Upper limit of the delay before the watch is retried. */
export const MAX_WATCH_RETRY_MS = 30_000;
/** Minimum interval between two reads of the machine list. */
export const MACHINES_INTERVAL_MS = 10_000;
/**
 * Added to the interval for each member, so that the read rate in bytes does not grow with the
 * list.
 */
export const MACHINES_INTERVAL_PER_MEMBER_MS = 100;
/** Number of objects applied at once from which the tables are rebuilt instead of updated. */
export const REBUILD_CHANGES = 16;
/** Timeout of a survey of the nodes that lack a revision. */
export const SURVEY_TIMEOUT_MS = 10_000;
/** Interval between the rounds of a survey. */
export const SURVEY_INTERVAL_MS = 250;
/** Maximum number of nodes pinged in one round of a survey. */
export const SURVEY_PEERS = 64;
/** Delay between the zones, which start to restore the store one after the other. */
export const RESTORE_STAGGER_MS = 3_000;
/** Delay before a failed request of a restore is retried. */
export const RESTORE_RETRY_MS = 1_000;
