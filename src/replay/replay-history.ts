/** Runs a history over the cores again, and says whether it breaks the same promise. */
import { Either } from 'purify-ts';
import type { History } from '../simulation/history/action.js';
import { type HistoryResult, runHistory } from '../simulation/history/run-history.js';
import type { Violation } from '../simulation/invariants/violation.js';
import type { StepFunction } from '../simulation/node-environment.js';

/** What came of a history that was run again. */
export interface HistoryReplay extends HistoryResult {
  /** Whether the breach that the file names was found again; absent when it names none. */
  readonly sameAgain?: boolean;
}

const isSame = (one: Violation, other: Violation): boolean =>
  one.invariant === other.invariant && one.at === other.at && one.detail === other.detail;

/** Runs `history` again; Left says why the run did not come to its end. */
export const replayHistory = (
  history: History,
  step?: StepFunction,
): Either<string, HistoryReplay> => {
  const { broke } = history;
  return Either.encase(() => runHistory(history, step === undefined ? {} : { step }))
    .mapLeft((error) => `the history could not be run to its end: ${String(error)}`)
    .map((result) => ({
      ...result,
      ...(broke && { sameAgain: result.violations.some((found) => isSame(found, broke)) }),
    }));
};
