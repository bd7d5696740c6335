/**
 * When the parts of a gather arrive after they were requested, by route. Parts that were still missing when the gather was
 * answered count as censored (Kaplan-Meier estimate): they would otherwise seem never to arrive, and each early answer would
 * make the next one earlier.
 */

/** Buckets for each objective, and their total number; older parts count in the last bucket. */
const BUCKETS_PER_OBJECTIVE = 50;
const BUCKETS = 100;

/** Number of parts at which all counts are halved, so that older gathers lose weight. */
const HALVE_AT = 8_192;

/** Number of parts required before the estimate is used: about three gathers over 90 shards. */
const MIN_PARTS = 250;

/** Weight, in parts, of the rate of the previous bucket, for ages at which few parts were still missing. */
const PRIOR_PARTS = 4;

/** Ages of the parts of a route's gathers. */
export interface PartArrivals {
  readonly objectiveMs: number;
  readonly arrived: Float64Array;
  /** Parts that were missing at this age, when their gather was answered. */
  readonly missing: Float64Array;
  total: number;
  /** Share of the parts that arrive later than the lower bound of each bucket; undefined when it must be computed. */
  survival: Float64Array | undefined;
}

/** Creates the ages of the parts of a route without samples. */
export const createPartArrivals = (objectiveMs: number): PartArrivals => ({
  objectiveMs,
  arrived: new Float64Array(BUCKETS),
  missing: new Float64Array(BUCKETS),
  total: 0,
  survival: undefined,
});

const bucketMsOf = ({ objectiveMs }: PartArrivals): number => objectiveMs / BUCKETS_PER_OBJECTIVE;

const halve = (arrivals: PartArrivals): void => {
  for (const counts of [arrivals.arrived, arrivals.missing]) {
    counts.forEach((count, bucket) => {
      counts[bucket] = count / 2;
    });
  }
  arrivals.total /= 2;
};

const addTo = (
  arrivals: PartArrivals,
  counts: Float64Array,
  ageMs: number,
  parts: number,
): void => {
  const bucket = Math.min(BUCKETS - 1, Math.floor(Math.max(0, ageMs) / bucketMsOf(arrivals)));
  counts[bucket] = (counts[bucket] ?? 0) + parts;
  arrivals.total += parts;
  arrivals.survival = undefined;
  if (arrivals.total >= HALVE_AT) {
    halve(arrivals);
  }
};

/** Records parts that arrived this time after they were requested, in milliseconds. */
export const addArrived = (arrivals: PartArrivals, ageMs: number, parts: number): void =>
  addTo(arrivals, arrivals.arrived, ageMs, parts);

/** Records a part that was missing when its gather was answered, this time after it was requested, in milliseconds. */
export const addMissing = (arrivals: PartArrivals, ageMs: number): void =>
  addTo(arrivals, arrivals.missing, ageMs, 1);

/** Whether enough parts were recorded for an estimate. */
export const hasEnoughParts = ({ total }: PartArrivals): boolean => total >= MIN_PARTS;

const computeSurvival = ({ arrived, missing, total }: PartArrivals): Float64Array => {
  const survival = new Float64Array(BUCKETS + 1);
  survival[0] = 1;
  let atRisk = total;
  let rate = 0;
  for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
    const ended = arrived[bucket] ?? 0;
    rate = (ended + rate * PRIOR_PARTS) / (atRisk + PRIOR_PARTS);
    survival[bucket + 1] = (survival[bucket] ?? 0) * (1 - rate);
    atRisk = Math.max(0, atRisk - ended - (missing[bucket] ?? 0));
  }
  return survival;
};

/** Share of the parts that arrive later than `ageMs`, interpolated within the bucket. */
const shareAfter = (survival: Float64Array, bucketMs: number, ageMs: number): number => {
  const position = Math.min(BUCKETS, Math.max(0, ageMs) / bucketMs);
  const bucket = Math.min(BUCKETS - 1, Math.floor(position));
  const lower = survival[bucket] ?? 0;
  const upper = survival[bucket + 1] ?? 0;
  return lower + (upper - lower) * (position - bucket);
};

/** Probability that a part that is missing at one age, in milliseconds, arrives until a later one. */
export const arrivalProbability = (
  arrivals: PartArrivals,
  ageMs: number,
  laterAgeMs: number,
): number => {
  arrivals.survival ??= computeSurvival(arrivals);
  const bucketMs = bucketMsOf(arrivals);
  const now = shareAfter(arrivals.survival, bucketMs, ageMs);
  const later = shareAfter(arrivals.survival, bucketMs, laterAgeMs);
  return now <= 0 ? 0 : Math.max(0, 1 - later / now);
};
