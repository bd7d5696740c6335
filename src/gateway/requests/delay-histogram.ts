/** A decaying histogram of delays in milliseconds, with constant memory and a constant cost for each sample. */

/** Upper bound of the first bucket, in milliseconds, and factor between the bounds of adjacent buckets. */
const FIRST_BOUND_MS = 0.25;
const GROWTH = 1.15;

/** With 64 buckets, the last bound is 1,670 ms; longer delays count in the last bucket. */
const BUCKETS = 64;

/** Number of samples at which all counts are halved, so that older samples lose weight. */
const HALVE_AT = 256;

/** Tolerance for rounding errors of times that were computed from the bound of a bucket, in milliseconds. */
const ROUNDING_MS = 1e-6;

const LOG_GROWTH = Math.log(GROWTH);

/** Delays counted in logarithmic buckets. */
export interface DelayHistogram {
  readonly counts: Float64Array;
  /** Weighted number of samples. */
  total: number;
}

/** Creates a histogram without samples. */
export const createDelayHistogram = (): DelayHistogram => ({
  counts: new Float64Array(BUCKETS),
  total: 0,
});

const boundOf = (bucket: number): number => FIRST_BOUND_MS * GROWTH ** bucket;

const bucketOf = (delayMs: number): number =>
  delayMs <= FIRST_BOUND_MS
    ? 0
    : Math.min(BUCKETS - 1, Math.ceil(Math.log(delayMs / FIRST_BOUND_MS) / LOG_GROWTH));

const halve = (histogram: DelayHistogram): void => {
  histogram.counts.forEach((count, bucket) => {
    histogram.counts[bucket] = count / 2;
  });
  histogram.total /= 2;
};

/** Adds one delay, in milliseconds. */
export const addDelay = (histogram: DelayHistogram, delayMs: number): void => {
  const bucket = bucketOf(delayMs);
  histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1;
  histogram.total += 1;
  if (histogram.total >= HALVE_AT) {
    halve(histogram);
  }
};

/** Delay that at most the share 1 - `level` of the samples exceeds, in milliseconds; 0 without samples. */
export const delayQuantile = ({ counts, total }: DelayHistogram, level: number): number => {
  let within = 0;
  for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
    within += counts[bucket] ?? 0;
    if (within >= total * level) {
      return total === 0 ? 0 : boundOf(bucket);
    }
  }
  return boundOf(BUCKETS - 1);
};

/** Share of the samples that exceed `delayMs`; a bucket counts as a whole, so that the share is not underestimated. */
export const shareBeyond = ({ counts, total }: DelayHistogram, delayMs: number): number => {
  if (total === 0 || delayMs < 0) {
    return 1;
  }
  let beyond = 0;
  for (
    let bucket = BUCKETS - 1;
    bucket >= 0 && boundOf(bucket) > delayMs + ROUNDING_MS;
    bucket -= 1
  ) {
    beyond += counts[bucket] ?? 0;
  }
  return beyond / total;
};
