/**
 * Estimates a timeout from observed delays, as TCP does for its retransmission timeout (RFC 6298). With a fixed timeout, on
 * machines with little processor capacity, busy peers and replicas would be treated as lost and their work sent to others
 * that are equally busy.
 */

/** Weights of a new sample in the mean and in the mean deviation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Number of mean deviations above the mean after which an answer is overdue (RFC 6298). */
const DEVIATIONS = 4;

/** Mean and mean deviation of the observed delays, in milliseconds. */
export interface DelayEstimate {
  mean: number;
  deviation: number;
}

/** Creates an estimate without samples. */
export const createDelayEstimate = (): DelayEstimate => ({ mean: 0, deviation: 0 });

/** Creates an estimate from its first sample, in milliseconds (RFC 6298, section 2.2). */
export const createDelayEstimateFrom = (elapsedMs: number): DelayEstimate => ({
  mean: elapsedMs,
  deviation: elapsedMs / 2,
});

/** Adds one observed delay to the estimate, in milliseconds. */
export const recordDelay = (delay: DelayEstimate, elapsedMs: number): void => {
  const error = Math.abs(elapsedMs - delay.mean);
  delay.deviation += DEVIATION_WEIGHT * (error - delay.deviation);
  delay.mean += MEAN_WEIGHT * (elapsedMs - delay.mean);
};

/** Time after which an answer is overdue, in milliseconds. */
export const overdueAfterMs = ({ mean, deviation }: DelayEstimate): number =>
  mean + DEVIATIONS * deviation;
