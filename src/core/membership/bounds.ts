/** Bounds and periods of membership. Times are in milliseconds. */

/** A probe is sent this often: in turn to the successor on the ring and to a random member. */
export const PROBE_INTERVAL_MS = 500;
/** A direct probe is given up after this long, and peers are asked to probe. */
export const DIRECT_TIMEOUT_MS = 300;
/** A member is suspected when no peer has reached it after this long more. */
export const INDIRECT_TIMEOUT_MS = 400;
/** Peers asked to probe on this node's behalf. */
export const INDIRECT_PEERS = 3;
/** A node that itself saw the probe fail declares the member dead after this long. */
export const OBSERVED_SUSPICION_MS = 1_500;
/** A node that only heard of the suspicion waits this long for the witness's word. */
export const REPORTED_SUSPICION_MS = 4_000;
/** A witness probes its suspect again this often. */
export const CONFIRM_INTERVAL_MS = 300;
/** A timer that fires later than this proves nothing about peers: this node did not run. */
export const LATE_TIMER_MS = 150;
/** A gap of this length means that peers may have suspected this node. */
export const PAUSE_THRESHOLD_MS = 400;
/** Rumours are sent this often while there are any to spread. */
export const GOSSIP_INTERVAL_MS = 200;
/** Random members told on each round of gossip. */
export const GOSSIP_PEERS = 2;
/** Random members told at once of what cannot wait: refutations and planned stops. */
export const URGENT_GOSSIP_PEERS = 6;
/** Each rumour is sent this many times the natural logarithm of the number of members. */
export const RUMOUR_SENDS_FACTOR = 3;
/** A peer whose table is the same counts as that many sends of each rumour. */
export const SENDS_PER_EQUAL_TABLE = 1;
/** Most bytes of rumours in a datagram; leaves room for the rest within 1,200. */
export const MAX_RUMOUR_BYTES = 820;
/** Most rumours waiting to be spread; the one sent most often gives way. */
export const MAX_RUMOURS = 4_096;
/** Most rumours about leaving back ends in a datagram. */
export const LEAVING_PER_MESSAGE = 4;
/** A back end is held to be leaving for this long after the last sign. */
export const LEAVING_VALIDITY_MS = 30_000;
/** A sign is passed on again only if it adds at least this much. */
export const LEAVING_RENEWAL_MS = 15_000;
/** Most back ends remembered as leaving. */
export const MAX_LEAVING_REPLICAS = 4_096;
/** Probes in flight at once, those for other nodes included. */
export const MAX_PROBES = 256;
/** A dead member is forgotten after this long. */
export const DEAD_RETENTION_MS = 3_600_000;
/** All nodes together ping a dead member this often a second, so that halves meet again. */
export const DEAD_PINGS_PER_SECOND = 4;
/** Members held dead but told alive that are pinged on one tick. */
export const DISPUTED_PER_TICK = 16;
/** Buckets of the member table whose hashes are kept; a power of two. */
export const TABLE_BUCKETS = 1_024;
/** Fewest buckets whose hashes an exchange sends; a power of two. */
export const MIN_BUCKETS_SENT = 64;
/** Members for each bucket sent, until all buckets are. */
export const MEMBERS_PER_BUCKET_SENT = 2;
/** Members in one page of a table exchange. */
export const PAGE_MEMBERS = 200;
/** A table is compared with a peer's at most this often. */
export const PULL_INTERVAL_MS = 10_000;
/** The same, while there were many changes since the last exchange. */
export const BUSY_PULL_INTERVAL_MS = 1_000;
/** Changes that count as many. */
export const BUSY_PULL_CHANGES = 8;
/** A member back from the dead counts as that many: more may have returned with it. */
export const CHANGES_PER_REVIVAL = 4;
/** Rumours are given this long to even tables out before they are compared. */
export const QUIET_BEFORE_PULL_MS = 3_000;
/** Seeds are asked this often until one answers. */
export const JOIN_RETRY_MS = 300;
/** A node that no seed answers for this long goes on alone. */
export const JOIN_TIMEOUT_MS = 1_500;
/** A node that is alone, or lacks a seed, asks again this often. */
export const REJOIN_INTERVAL_MS = 5_000;
/** Hints from the machine list that are pinged on one tick. */
export const HINTS_PER_TICK = 8;
/** Most hints kept. */
export const MAX_HINTS = 4_096;
