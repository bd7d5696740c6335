/**
 * Whether it pays to keep a request waiting until a replica of its service can be tried again, from how
 * such waits have ended lately. Waiting that ends without service costs its caller the time in which another
 * gateway could have been asked.
 */

/** Weight of one more outcome in the share. */
const OUTCOME_WEIGHT = 0.2;

/** A wait pays when at least every second one ends with service: the caller's next try may fail as well. */
const MIN_SERVED_SHARE = 0.5;

/** One wait in so many is made all the same, to learn whether it pays again. */
const EXPLORATION_SHARE = 0.1;

/** How waits for one service have ended: the share that were served, lately. */
export interface PauseOutcomes {
  servedShare: number;
}

/** Creates a record without outcomes: a wait is expected to be served. */
export const createPauseOutcomes = (): PauseOutcomes => ({ servedShare: 1 });

/** Notes how a wait has ended. */
export const recordPauseOutcome = (outcomes: PauseOutcomes, isServed: boolean): void => {
  outcomes.servedShare += OUTCOME_WEIGHT * (Number(isServed) - outcomes.servedShare);
};

/** Whether to wait; `draw` is uniform in 0 to 1. */
export const isPauseWorthwhile = ({ servedShare }: PauseOutcomes, draw: number): boolean =>
  servedShare >= MIN_SERVED_SHARE || draw < EXPLORATION_SHARE;
