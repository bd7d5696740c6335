/**
 * A decaying histogram of leg latencies relative to the expected latency. It yields the latency from
 * which a second attempt is worth sending.
 */

const BUCKETS = 72;
/** Upper bound of the first bucket, as a ratio to the expected latency. */
const FIRST_BOUND = 0.1;
/** Factor between the upper bounds of two adjacent buckets. */
const GROWTH = 1.1;
/** Number of samples at which all counts are halved, so that older samples lose weight. */
const HALVE_AT = 4_096;
/** Number of new samples after which the cached threshold is recomputed. */
const REFRESH_SAMPLES = 64;

const LOG_GROWTH = Math.log(GROWTH);

const BOUNDS = Float64Array.from({ length: BUCKETS }, (_, index) => FIRST_BOUND * GROWTH ** index);

/** Samples as ratios to the expected latency, counted in logarithmic buckets. */
export interface LatencyHistogram {
  readonly counts: Float64Array;
  total: number;
  /** Samples added since `cachedRatio` was computed. */
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

/** Adds one sample, as a ratio to the expected latency. */
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
 * Scans from the slowest bucket down for the smallest ratio that at most the share `tail` of the
 * samples exceed and that those samples exceed by at least `rest` on average.
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
 * Returns the ratio to the expected latency from which a second attempt is worth sending. It is
 * infinite if there is none, as for a distribution without a long tail.
 *
 * @param tail - maximum share of the samples that may exceed the ratio, 0 to 1
 * @param rest - minimum mean time that remains beyond the ratio, in expected latencies
 */
export const hedgeThreshold = (histogram: LatencyHistogram, tail: number, rest: number): number => {
  if (histogram.samplesSinceScan >= REFRESH_SAMPLES || histogram.cachedTail !== tail) {
    histogram.samplesSinceScan = 0;
    histogram.cachedTail = tail;
    histogram.cachedRatio = scanForThreshold(histogram, tail, rest);
  }
  return histogram.cachedRatio;
};
