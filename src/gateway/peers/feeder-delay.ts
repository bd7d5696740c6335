/**
 * How long feeders take to say their first word, as this gateway sees it, and how long it waits for one:
 * the estimate that TCP makes of its retransmission timeout (RFC 6298). On machines with little processor,
 * feeders that are merely busy would be taken for lost otherwise, and their work sent to others as busy.
 */

/** Weights of a new sample in the mean and in the mean deviation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Mean deviations beyond the mean after which a word is overdue (RFC 6298). */
const DEVIATIONS = 4;

/** What was observed; times in milliseconds. */
export interface FeederDelay {
  mean: number;
  deviation: number;
}

/** Creates an estimate without samples. */
export const createFeederDelay = (): FeederDelay => ({ mean: 0, deviation: 0 });

/** Notes after what time a feeder said its first word. */
export const noteFirstWord = (delay: FeederDelay, elapsedMs: number): void => {
  const error = Math.abs(elapsedMs - delay.mean);
  delay.deviation += DEVIATION_WEIGHT * (error - delay.deviation);
  delay.mean += MEAN_WEIGHT * (elapsedMs - delay.mean);
};

/** Time after which a word is overdue, in milliseconds. */
export const usualPatience = ({ mean, deviation }: FeederDelay): number =>
  mean + DEVIATIONS * deviation;
