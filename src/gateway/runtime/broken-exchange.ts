/** How an exchange is described whose connection ended before the whole answer was received. */
import type { AttemptProblem } from '../model/request.js';

/** What is known of such an exchange. */
export interface BrokenExchange {
  /** Whether any byte was received in answer to the request, be it of an interim answer. */
  readonly hasBegun: boolean;
  /** Whether an earlier answer was received over the connection. */
  readonly isReused: boolean;
}

/** The problem with which the attempt ends; `attempt-problems.ts` has what follows from it. */
export const problemOfBreak = ({ hasBegun, isReused }: BrokenExchange): AttemptProblem => {
  if (hasBegun) {
    return 'cut-off';
  }
  return isReused ? 'reset' : 'refused-connection';
};
