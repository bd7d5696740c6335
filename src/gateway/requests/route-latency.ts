/** How long attempts for one route usually take, and from when a second attempt pays. */
import {
  addRatio,
  createLatencyHistogram,
  type LatencyHistogram,
  hedgeThreshold,
} from '../../core/query/latency-histogram.js';
import type { Route } from '../model/route.js';

/** Before any sample, an attempt is expected to take this part of the objective. */
const FIRST_GUESS = 0.15;

/** Step of the running median, relative to its value. */
const MEDIAN_STEP = 0.04;

/** Least share of attempts that a hedge may double. */
const HEDGED_TAIL = 0.12;

/** A hedge pays when as much is left to wait for, in usual latencies. */
const WORTHWHILE_REST = 0.8;

/** A hedge is sent no earlier than this, in usual latencies, and no later, in objectives. */
const EARLIEST_HEDGE = 1.5;
const LATEST_HEDGE = 0.42;

/** Samples before the distribution is used. */
const MIN_SAMPLES = 60;

/** Observed latencies of the attempts for one route. */
export interface RouteLatency {
  /** Running median, in milliseconds. */
  median: number;
  samples: number;
  readonly histogram: LatencyHistogram;
}

/** Creates the record of a route without samples. */
export const createRouteLatency = (route: Route): RouteLatency => ({
  median: route.objectiveMs * FIRST_GUESS,
  samples: 0,
  histogram: createLatencyHistogram(),
});

/** Adds the latency of an answered attempt, in milliseconds. */
export const addLatency = (latency: RouteLatency, elapsedMs: number): void => {
  latency.samples += 1;
  const step = Math.max(MEDIAN_STEP, 1 / latency.samples);
  const factor = elapsedMs > latency.median ? 1 + step : 1 / (1 + step);
  latency.median = Math.max(0.1, latency.median * factor);
  addRatio(latency.histogram, elapsedMs / latency.median);
};

/** Time after which a leg without an answer gets a second attempt, in milliseconds. */
export const hedgeDelay = (latency: RouteLatency, route: Route): number => {
  const latest = route.objectiveMs * LATEST_HEDGE;
  if (latency.samples < MIN_SAMPLES) {
    return latest;
  }
  const ratio = hedgeThreshold(latency.histogram, HEDGED_TAIL, WORTHWHILE_REST);
  const delay = latency.median * Math.max(EARLIEST_HEDGE, ratio);
  return Math.min(latest, delay);
};
