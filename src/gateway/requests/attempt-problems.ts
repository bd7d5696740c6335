/**
 * What follows from each problem with which an attempt ends. Whether the request may have run does not depend on it: any that
 * was sent may have, unless the replica states that it has not.
 */
import type { AttemptProblem } from '../model/request.js';

/** The consequences of a problem. */
interface ProblemTraits {
  /** It is attributed to the replica, which is ejected for a while. */
  readonly isReplicaFailure: boolean;
  /** A crash of the replica ends attempts in this way, so that the replica is checked. */
  readonly mayBeCrash: boolean;
  /** It counts as an answer that cannot be read, and is logged. */
  readonly isUnreadableAnswer: boolean;
  /** It counts towards the runs that a repeatable request may have. */
  readonly countsAsRun: boolean;
}

const FAILURE: ProblemTraits = {
  isReplicaFailure: true,
  mayBeCrash: false,
  isUnreadableAnswer: false,
  countsAsRun: true,
};

const UNREADABLE: ProblemTraits = { ...FAILURE, isUnreadableAnswer: true };
const BREAK: ProblemTraits = { ...FAILURE, mayBeCrash: true };

const TRAITS: Readonly<Record<AttemptProblem, ProblemTraits>> = {
  'connect-refused': FAILURE,
  'connect-timeout': FAILURE,
  // The replica has too many connections, so that a repeatable request is retried as if it had not run.
  'refused-connection': { ...BREAK, countsAsRun: false },
  reset: BREAK,
  'timed-out': FAILURE,
  'bad-answer': UNREADABLE,
  'endless-answer': UNREADABLE,
  'no-memory': UNREADABLE,
  'unsigned-answer': FAILURE,
  'foreign-answer': FAILURE,
  'cut-off': BREAK,
  aborted: { ...FAILURE, isReplicaFailure: false },
};

/** Returns what follows from a problem. */
export const traitsOf = (problem: AttemptProblem): ProblemTraits => TRAITS[problem];
