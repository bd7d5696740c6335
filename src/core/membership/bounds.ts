/** Limits and intervals of the membership slice. Times are in milliseconds. */

/**
 * Interval between probes, which go alternately to the successor on the ring and a random member.
 */
export const PROBE_INTERVAL_MS = 500;
/** Timeout of a direct probe; peers are then requested to probe the member. */
export const DIRECT_TIMEOUT_MS = 300;
/** Timeout of the indirect probes that follow; the member is then suspected. */
export const INDIRECT_TIMEOUT_MS = 400;
/** Number of peers requested to probe a member indirectly. */
export const INDIRECT_PEERS = 3;
/** Duration of a suspicion at a node whose own probe failed; the member is then declared dead. */
export const OBSERVED_SUSPICION_MS = 1_500;
/**
 * Duration of a suspicion that a peer reported; leaves time for a result from the observing node.
 */
export const REPORTED_SUSPICION_MS = 4_000;
/** Interval at which a node whose own probe failed probes the suspect again. */
export const CONFIRM_INTERVAL_MS = 300;
/** A timer that fires later than this gives no evidence about peers: this node did not run. */
export const LATE_TIMER_MS = 150;
/** A gap of this length counts as a process pause, in which peers may have suspected this node. */
export const PAUSE_THRESHOLD_MS = 400;
/** Interval between rounds of gossip while there are rumours to spread. */
export const GOSSIP_INTERVAL_MS = 200;
/** Number of random members that receive rumours in each round of gossip. */
export const GOSSIP_PEERS = 2;
/** Number of random members that receive urgent rumours at once: refutations and planned stops. */
export const URGENT_GOSSIP_PEERS = 6;
/** Each rumour is sent this factor times the natural logarithm of the number of members. */
export const RUMOUR_SENDS_FACTOR = 3;
/** A peer with an equal table counts as this many sends of each rumour. */
export const SENDS_PER_EQUAL_TABLE = 1;
/** Maximum size of the rumours in a datagram; leaves room for the rest within 1,200 bytes. */
export const MAX_RUMOUR_BYTES = 820;
/** Maximum number of queued rumours; the one sent most often is dropped first. */
export const MAX_RUMOURS = 4_096;
/** Maximum number of rumours about leaving replicas in a datagram. */
export const LEAVING_PER_MESSAGE = 4;
/** A replica counts as leaving for this long after the last sign. */
export const LEAVING_VALIDITY_MS = 30_000;
/** A sign is spread again only if it extends the validity by at least this much. */
export const LEAVING_RENEWAL_MS = 15_000;
/** Maximum number of replicas recorded as leaving. */
export const MAX_LEAVING_REPLICAS = 4_096;
/** Maximum number of probes in flight, including those on behalf of other nodes. */
export const MAX_PROBES = 256;
/** A dead member is removed from the table after this long. */
export const DEAD_RETENTION_MS = 3_600_000;
/** Pings per second that all nodes together send to a dead member, so that a partition heals. */
export const DEAD_PINGS_PER_SECOND = 4;
/** Maximum number of disputed members pinged on one tick. */
export const DISPUTED_PER_TICK = 16;
/** Number of buckets of the member table with a hash each; a power of two. */
export const TABLE_BUCKETS = 1_024;
/** Minimum number of bucket hashes sent in an exchange; a power of two. */
export const MIN_BUCKETS_SENT = 64;
/** Members per bucket hash sent, until the hashes of all buckets are sent. */
export const MEMBERS_PER_BUCKET_SENT = 2;
/** Number of members in one page of a table exchange. */
export const PAGE_MEMBERS = 200;
/** Minimum interval between exchanges of the member table. */
export const PULL_INTERVAL_MS = 10_000;
/** Minimum interval between exchanges after many changes since the last one. */
export const BUSY_PULL_INTERVAL_MS = 1_000;
/** Number of changes from which `BUSY_PULL_INTERVAL_MS` applies. */
export const BUSY_PULL_CHANGES = 8;
/** A dead member that is alive again counts as this many changes, as others may have returned with it. */
export const CHANGES_PER_REVIVAL = 4;
/** Time after the last change before an exchange, in which rumours may align the tables. */
export const QUIET_BEFORE_PULL_MS = 3_000;
/** Interval between requests to the seeds until one answers. */
export const JOIN_RETRY_MS = 300;
/** A node that no seed answers within this time continues alone. */
export const JOIN_TIMEOUT_MS = 1_500;
/** Interval between requests of a node that is alone or does not know all seeds. */
export const REJOIN_INTERVAL_MS = 5_000;
/** Maximum number of addresses from the machine list pinged on one tick. */
export const LISTED_ADDRESSES_PER_TICK = 8;
/** Maximum number of addresses kept from the machine list. */
export const MAX_LISTED_ADDRESSES = 4_096;
