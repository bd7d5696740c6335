/** Replays a history in simulation and reports whether it breaks the same promise again. */
import { Either } from 'purify-ts';
import type { History } from '../simulation/history/action.js';
import { type HistoryResult, runHistory } from '../simulation/history/run-history.js';
import type { Violation } from '../simulation/invariants/violation.js';
import type { StepFunction } from '../simulation/node-environment.js';

/** The result of a replayed history. */
export interface HistoryReplay extends HistoryResult {
  /** Whether the violation recorded in the file occurred again; absent when the file records none. */
  readonly sameAgain?: boolean;
}

const isSame = (one: Violation, other: Violation): boolean =>
  one.invariant === other.invariant && one.at === other.at && one.detail === other.detail;

/** Replays `history`; Left describes the error that ended the run early. */
export const replayHistory = (
  history: History,
  step?: StepFunction,
): Either<string, HistoryReplay> => {
  const { broke } = history;
  return Either.encase(() => runHistory(history, step === undefined ? {} : { step }))
    .mapLeft((error) => `the history could not be replayed to its end: ${String(error)}`)
    .map((result) => ({
      ...result,
      ...(broke && { sameAgain: result.violations.some((found) => isSame(found, broke)) }),
    }));
};
