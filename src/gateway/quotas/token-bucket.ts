/**
 * A token bucket whose capacity also covers tokens that are leased to others: available and leased tokens together never
 * exceed the capacity, so that a window of W admits at most rate x W + capacity.
 */

/** Tolerance for rounding errors when whole tokens are taken. */
const EPSILON = 1e-9;

/** Rate and capacity in force. */
export interface BucketLimits {
  /** Tokens per millisecond. */
  readonly rate: number;
  readonly capacity: number;
}

/** State of a bucket. Times are in milliseconds on the gateway's clock. */
export interface TokenBucket {
  available: number;
  /** Tokens that others may still use, or have used without having reported it. */
  leased: number;
  filledAt: number;
  /** When available and leased tokens together last reached the capacity. */
  fullAt: number;
  /** Total of tokens that became due or were put back, also of those for which there was no room. */
  inflow: number;
  /** The capacity at `filledAt`. */
  capacity: number;
}

/** Creates a bucket. */
export const createBucket = (available: number, at: number): TokenBucket => ({
  available,
  leased: 0,
  filledAt: at,
  fullAt: at,
  inflow: 0,
  capacity: 0,
});

/** Adds the tokens that have become due, and discards what exceeds the capacity. */
export const fillBucket = (
  bucket: TokenBucket,
  { rate, capacity }: BucketLimits,
  at: number,
): void => {
  const due = Math.max(0, at - bucket.filledAt) * rate;
  bucket.available += due;
  // A capacity that falls leaves as much less room as tokens that come in.
  bucket.inflow += due + Math.max(0, bucket.capacity - capacity);
  bucket.capacity = capacity;
  bucket.filledAt = Math.max(bucket.filledAt, at);
  if (bucket.available + bucket.leased >= capacity) {
    bucket.available = Math.max(0, capacity - bucket.leased);
    bucket.fullAt = bucket.filledAt;
  }
};

/** Whole tokens that are available. */
export const wholeTokens = ({ available }: TokenBucket): number => Math.floor(available + EPSILON);

/** Removes up to `wanted` whole tokens and returns how many. */
export const takeTokens = (bucket: TokenBucket, wanted: number): number => {
  const taken = Math.max(0, Math.min(wanted, wholeTokens(bucket)));
  bucket.available = Math.max(0, bucket.available - taken);
  return taken;
};

/** Time until one whole token is available, in milliseconds. */
export const untilToken = (
  { available }: TokenBucket,
  { rate, capacity }: BucketLimits,
  wanted = 1,
): number => {
  if (available + EPSILON >= wanted) {
    return 0;
  }
  return rate > 0 && capacity + EPSILON >= wanted
    ? (wanted - available) / rate
    : Number.POSITIVE_INFINITY;
};

/**
 * Limit up to which tokens that are taken from now on can be put back: the total inflow at which the bucket would be full
 * if none of them were taken.
 */
export const putBackLimit = ({ inflow, capacity, available, leased }: TokenBucket): number =>
  inflow + capacity - available - leased;

/**
 * Takes back tokens of requests that did not run, if that keeps to the limit from before they were taken. The bucket then
 * holds what it would hold if they had never been taken. It is not enough that the bucket has not been full since: with
 * the other tokens that are taken and may be put back, it might have been.
 */
export const putBack = (bucket: TokenBucket, count: number, limit: number): number => {
  if (bucket.inflow + count > limit) {
    return 0;
  }
  bucket.available += count;
  bucket.inflow += count;
  return count;
};
