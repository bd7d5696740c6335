/**
 * Estimates from recent outcomes whether a leg should pause until a replica of its service may be used again. A pause
 * that does not end with an answer costs the caller time in which another gateway could have served the request.
 */

/** Weight of a new outcome in the moving average. */
const OUTCOME_WEIGHT = 0.2;

/** Pausing is worthwhile when at least half of the pauses end with an answer: the caller's retry elsewhere may fail too. */
const MIN_SERVED_SHARE = 0.5;

/** Share of pauses that are made although they are not worthwhile, to detect when they become so again. */
const EXPLORATION_SHARE = 0.1;

/** Moving share of the pauses of legs for one service that ended with an answer. */
export interface LegPauseOutcomes {
  servedShare: number;
}

/** Creates outcomes without a recorded pause; all pauses are expected to end with an answer. */
export const createLegPauseOutcomes = (): LegPauseOutcomes => ({ servedShare: 1 });

/** Records the outcome of one pause. */
export const recordLegPauseOutcome = (outcomes: LegPauseOutcomes, isServed: boolean): void => {
  outcomes.servedShare += OUTCOME_WEIGHT * (Number(isServed) - outcomes.servedShare);
};

/** Whether a leg should pause; `draw` is a uniform random number between 0 and 1. */
export const isLegPauseWorthwhile = ({ servedShare }: LegPauseOutcomes, draw: number): boolean =>
  servedShare >= MIN_SERVED_SHARE || draw < EXPLORATION_SHARE;
