/** Draws heavy-tailed service times from a log-normal distribution around the replica's median. */
import type { Random } from '../../core/random.js';
import type { ReplicaFaults } from './replica-faults.js';

/** Standard deviation of the logarithm: 1 leg in 100 takes more than 3.2 times the median. */
const SERVICE_TIME_SIGMA = 0.5;
/** Maximum service time as a multiple of the median, before faults. */
const MAX_SERVICE_FACTOR = 20;
/** Factor on the service times of a replica that has just started; it falls linearly to 1. */
const COLD_FACTOR = 5;

const SMALLEST_UNIFORM = 1e-12;

/** Draws a standard normal number with the Box-Muller transform. */
const drawNormal = (random: Random): number => {
  const radius = Math.sqrt(-2 * Math.log(Math.max(random.next(), SMALLEST_UNIFORM)));
  return radius * Math.cos(2 * Math.PI * random.next());
};

/** Cold start of a replica. */
export interface ColdStart {
  /** When the replica is warm, in milliseconds. */
  readonly warmAt: number;
  /** Duration of the cold start, in milliseconds; 0 if the replica was never cold. */
  readonly coldMs: number;
}

/** Returns the factor on the service times at `at` of a replica that is warming up. */
export const coldFactorAt = (cold: ColdStart, at: number): number => {
  const remainingMs = cold.warmAt - at;
  return remainingMs <= 0 || cold.coldMs <= 0
    ? 1
    : 1 + (COLD_FACTOR - 1) * (remainingMs / cold.coldMs);
};

/** Draws the time that a request occupies its slot, in milliseconds. */
export const drawServiceTime = (
  random: Random,
  medianMs: number,
  faults: ReplicaFaults,
  coldFactor: number,
): number => {
  const spread = Math.exp(SERVICE_TIME_SIGMA * drawNormal(random));
  const baseMs = medianMs * Math.min(spread, MAX_SERVICE_FACTOR);
  const isSlowed = faults.slowFactor !== 1 && random.next() < faults.slowShare;
  return baseMs * coldFactor * (isSlowed ? faults.slowFactor : 1);
};
