/**
 * How long something usually takes and how long to wait for it: the estimate that TCP makes of its
 * retransmission timeout (RFC 6298). On machines with little processor, peers and replicas that are merely
 * busy would be taken for lost otherwise, and their work sent to others as busy.
 */

/** Weights of a new sample in the mean and in the mean deviation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Mean deviations beyond the mean after which it is overdue (RFC 6298). */
const DEVIATIONS = 4;

/** What was observed; times in milliseconds. */
export interface DelayEstimate {
  mean: number;
  deviation: number;
}

/** Creates an estimate without samples. */
export const createDelayEstimate = (): DelayEstimate => ({ mean: 0, deviation: 0 });

/** Notes how long it took once. */
export const recordDelay = (delay: DelayEstimate, elapsedMs: number): void => {
  const error = Math.abs(elapsedMs - delay.mean);
  delay.deviation += DEVIATION_WEIGHT * (error - delay.deviation);
  delay.mean += MEAN_WEIGHT * (elapsedMs - delay.mean);
};

/** Time after which it is overdue, in milliseconds. */
export const overdueAfterMs = ({ mean, deviation }: DelayEstimate): number =>
  mean + DEVIATIONS * deviation;
