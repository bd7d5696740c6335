/** Latency statistics of the attempts for one route, and the hedge delay derived from them. */
import {
  addRatio,
  createLatencyHistogram,
  type LatencyHistogram,
  hedgeThreshold,
} from '../../core/query/latency-histogram.js';
import {
  createDelayEstimateFrom,
  type DelayEstimate,
  overdueAfterMs,
  recordDelay,
} from '../delay-estimate.js';
import type { Route } from '../model/route.js';

/** Initial median as a share of the objective, used before the first sample. */
const INITIAL_MEDIAN_SHARE = 0.15;

/** Smallest step of the running median, relative to its value. */
const MEDIAN_STEP = 0.04;

/** Largest share of attempts whose latency may exceed the hedge delay that the histogram gives. */
const MAX_HEDGED_SHARE = 0.12;

/** Expected remaining wait from which a hedge is worthwhile, in usual latencies. */
const MIN_REMAINING_RATIO = 0.8;

/** Earliest hedge in usual latencies, and latest hedge as a share of the objective. */
const EARLIEST_HEDGE_RATIO = 1.5;
const LATEST_HEDGE_SHARE = 0.42;

/** Usual latencies that an attempt needs to be answered in time with some certainty. */
const HEDGE_ALLOWANCE_RATIO = 1.3;

/** Number of samples required before the distribution is used. */
const MIN_SAMPLES = 60;

/** Observed latencies of the attempts for one route. */
export interface RouteLatency {
  /** Running median, in milliseconds. */
  median: number;
  samples: number;
  readonly histogram: LatencyHistogram;
  /** Durations of the attempts; undefined before the first sample. */
  durations: DelayEstimate | undefined;
  /** Durations of the attempts that this gateway did not send to a full replica; undefined before the first sample. */
  promptDurations: DelayEstimate | undefined;
}

/** Creates latency statistics without samples. */
export const createRouteLatency = (route: Route): RouteLatency => ({
  median: route.objectiveMs * INITIAL_MEDIAN_SHARE,
  samples: 0,
  histogram: createLatencyHistogram(),
  durations: undefined,
  promptDurations: undefined,
});

/** Latency statistics of the request's route; created when the route has none. */
export const latencyOf = (
  { latencies }: { readonly latencies: Map<string, RouteLatency> },
  { route }: { readonly route: Route },
): RouteLatency => {
  const known = latencies.get(route.name);
  if (known !== undefined) {
    return known;
  }
  const latency = createRouteLatency(route);
  latencies.set(route.name, latency);
  return latency;
};

const withSample = (known: DelayEstimate | undefined, elapsedMs: number): DelayEstimate => {
  if (known === undefined) {
    return createDelayEstimateFrom(elapsedMs);
  }
  recordDelay(known, elapsedMs);
  return known;
};

/**
 * Records the latency of an answered attempt.
 *
 * @param elapsedMs - time from sending to the answer, in milliseconds
 * @param isPrompt - whether the replica had room when the attempt was sent, as far as this gateway knew
 */
export const addLatency = (latency: RouteLatency, elapsedMs: number, isPrompt: boolean): void => {
  latency.samples += 1;
  const step = Math.max(MEDIAN_STEP, 1 / latency.samples);
  const factor = elapsedMs > latency.median ? 1 + step : 1 / (1 + step);
  latency.median = Math.max(0.1, latency.median * factor);
  addRatio(latency.histogram, elapsedMs / latency.median);
  latency.durations = withSample(latency.durations, elapsedMs);
  if (isPrompt) {
    latency.promptDurations = withSample(latency.promptDurations, elapsedMs);
  }
};

/** Mean duration of an attempt and the time within which nearly all end, in milliseconds. */
export interface AttemptTimes {
  readonly meanMs: number;
  readonly slowMs: number;
}

/**
 * Durations of attempts at replicas with room, without the wait for other attempts of this gateway. All attempts count as long
 * as none had room; the route's objective is assumed before the first sample.
 */
export const attemptTimes = (
  { durations, promptDurations }: RouteLatency,
  { objectiveMs }: Route,
): AttemptTimes => {
  const known = promptDurations ?? durations;
  return known === undefined
    ? { meanMs: objectiveMs, slowMs: objectiveMs }
    : { meanMs: known.mean, slowMs: overdueAfterMs(known) };
};

/**
 * Latest time at which a second attempt can usually still be answered in time, in milliseconds since the request arrived. Not
 * before an attempt of usual latency is answered: with so little time, most second attempts would be wasted.
 *
 * @param withinMs - time until the answer of an attempt is needed, in milliseconds since the request arrived
 */
export const latestUsefulHedge = ({ median }: RouteLatency, withinMs: number): number =>
  Math.max(median * EARLIEST_HEDGE_RATIO, withinMs - median * HEDGE_ALLOWANCE_RATIO);

/**
 * Time after which a leg without an answer is hedged, in milliseconds.
 *
 * @param withinMs - time until the answer of an attempt is needed, in milliseconds since the request arrived
 */
export const hedgeDelay = (latency: RouteLatency, route: Route, withinMs: number): number => {
  const latest = Math.min(
    route.objectiveMs * LATEST_HEDGE_SHARE,
    latestUsefulHedge(latency, withinMs),
  );
  if (latency.samples < MIN_SAMPLES) {
    return latest;
  }
  const ratio = hedgeThreshold(latency.histogram, MAX_HEDGED_SHARE, MIN_REMAINING_RATIO);
  const delay = latency.median * Math.max(EARLIEST_HEDGE_RATIO, ratio);
  return Math.min(latest, delay);
};
