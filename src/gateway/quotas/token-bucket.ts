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
}

/** Creates a bucket. */
export const createBucket = (available: number, at: number): TokenBucket => ({
  available,
  leased: 0,
  filledAt: at,
  fullAt: at,
});

/** Adds the tokens that have become due, and discards what exceeds the capacity. */
export const fillBucket = (
  bucket: TokenBucket,
  { rate, capacity }: BucketLimits,
  at: number,
): void => {
  bucket.available += Math.max(0, at - bucket.filledAt) * rate;
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
 * Takes back tokens that were taken at `takenAt` or later for requests that did not run. They are taken back only if the
 * bucket has not been full since: it then holds what it would hold if they had never been taken.
 */
export const putBack = (bucket: TokenBucket, count: number, takenAt: number): number => {
  if (takenAt < bucket.fullAt) {
    return 0;
  }
  bucket.available += count;
  return count;
};
