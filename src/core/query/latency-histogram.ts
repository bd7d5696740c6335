/**
 * A decaying histogram of how long legs took relative to what was expected of them, and from it the
 * point from which a second attempt pays.
 */

const BUCKETS = 72;
/** Upper bound of the first bucket, as a ratio to the expected latency. */
const FIRST_BOUND = 0.1;
/** Each bucket is wider than the one before by this factor. */
const GROWTH = 1.1;
/** When this many samples are held, all counts are halved: older ones fade. */
const HALVE_AT = 4_096;
/** What is derived is worked out again after this many samples. */
const REFRESH_SAMPLES = 64;

const LOG_GROWTH = Math.log(GROWTH);

const BOUNDS = Float64Array.from({ length: BUCKETS }, (_, index) => FIRST_BOUND * GROWTH ** index);

/** Samples as ratios, kept in logarithmic buckets. */
export interface LatencyHistogram {
  readonly counts: Float64Array;
  total: number;
  /** Samples since `cachedRatio` was worked out. */
  samplesSinceScan: number;
  cachedTail: number;
  cachedRatio: number;
}

/** Creates a histogram without samples. */
export const createLatencyHistogram = (): LatencyHistogram => ({
  counts: new Float64Array(BUCKETS),
  total: 0,
  samplesSinceScan: 0,
  cachedTail: Number.NaN,
  cachedRatio: Number.POSITIVE_INFINITY,
});

const bucketOf = (ratio: number): number => {
  if (ratio <= FIRST_BOUND) {
    return 0;
  }
  return Math.min(BUCKETS - 1, Math.ceil(Math.log(ratio / FIRST_BOUND) / LOG_GROWTH));
};

const halve = (histogram: LatencyHistogram): void => {
  histogram.total = 0;
  for (let index = 0; index < BUCKETS; index += 1) {
    const halved = (histogram.counts[index] ?? 0) / 2;
    histogram.counts[index] = halved;
    histogram.total += halved;
  }
};

/** Adds one sample. */
export const addRatio = (histogram: LatencyHistogram, ratio: number): void => {
  const bucket = bucketOf(ratio);
  histogram.counts[bucket] = (histogram.counts[bucket] ?? 0) + 1;
  histogram.total += 1;
  histogram.samplesSinceScan += 1;
  if (histogram.total >= HALVE_AT) {
    halve(histogram);
  }
};

/**
 * Scans from the slowest samples down, for the smallest ratio beyond which at most `tail` of the
 * samples lie and from which on the mean of what is left is at least `rest`.
 */
const scanForThreshold = (histogram: LatencyHistogram, tail: number, rest: number): number => {
  const maxBeyond = histogram.total * tail;
  let beyond = 0;
  let sum = 0;
  let found = Number.POSITIVE_INFINITY;
  for (let index = BUCKETS - 1; index > 0; index -= 1) {
    const bound = BOUNDS[index - 1] ?? 0;
    const count = histogram.counts[index] ?? 0;
    beyond += count;
    sum += count * (BOUNDS[index] ?? 0);
    if (beyond > maxBeyond) {
      break;
    }
    if (beyond > 0 && sum / beyond - bound >= rest) {
      found = bound;
    }
  }
  return found;
};

/**
 * The ratio from which a second attempt pays; infinite when none does, as with a distribution that
 * has no long tail.
 *
 * @param tail - largest share of the samples that may lie beyond it
 * @param rest - what must be left at least, on the mean, in expected latencies
 */
export const hedgeThreshold = (histogram: LatencyHistogram, tail: number, rest: number): number => {
  if (histogram.samplesSinceScan >= REFRESH_SAMPLES || histogram.cachedTail !== tail) {
    histogram.samplesSinceScan = 0;
    histogram.cachedTail = tail;
    histogram.cachedRatio = scanForThreshold(histogram, tail, rest);
  }
  return histogram.cachedRatio;
};
