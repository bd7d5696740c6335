/** Bounds and periods of the configuration in force. Times are in milliseconds. */

/** Nodes of each zone that watch the store. */
export const READERS_PER_ZONE = 2;
/** How often a node looks whether its role has moved. */
export const ROLE_CHECK_MS = 500;
/** The same, while it has not begun to serve. */
export const START_CHECK_MS = 50;
/** Peers to which a node passes a push on. */
export const PUSH_FAN_OUT = 4;
/** Most estimated bytes of objects in one push or page; a single object may be larger. */
export const PAGE_BYTES = 256 * 1024;
/** Most objects in one push or page. */
export const PAGE_OBJECTS = 256;
/** A node that hears of a newer revision waits for the push at least this long. */
export const MIN_PULL_DELAY_MS = 50;
/** The same at most; drawn at random between. */
export const MAX_PULL_DELAY_MS = 250;
/** A pull without an answer is given up after this long. */
export const PULL_TIMEOUT_MS = 1_000;
/** First wait before the watch is tried again; never less. */
export const MIN_WATCH_RETRY_MS = 1_000;
/** A reader that is told that the store answers tries it within this time. */
export const HINT_JITTER_MS = 200;
/** After a failed store has answered a reader, the reader asks nothing else of it for this long. */
export const RECOVERY_QUIET_MS = 1_000;
/** Longest wait before the watch is tried again. */
export const MAX_WATCH_RETRY_MS = 30_000;
/** Least time between two reads of the machine list. */
export const MACHINES_INTERVAL_MS = 10_000;
/** Added for each member, so that the bytes a second stay the same however long the list is. */
export const MACHINES_INTERVAL_PER_MEMBER_MS = 100;
/** Changes taken at once from which the tables are built anew rather than amended. */
export const REBUILD_CHANGES = 16;
/** A question to the nodes that lack a revision is given up after this long. */
export const SURVEY_TIMEOUT_MS = 10_000;
/** Nodes are asked this often. */
export const SURVEY_INTERVAL_MS = 250;
/** Nodes asked at once. */
export const SURVEY_PEERS = 64;
/** Zones begin to bring a store up to date one after the other, this far apart. */
export const RESTORE_STAGGER_MS = 3_000;
/** Wait before a failed write of a restore is tried again. */
export const RESTORE_RETRY_MS = 1_000;
