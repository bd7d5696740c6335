/** Judges a run by what was seen from outside; nothing of the gateway's own code is used. */
import type { Observations } from '../model/observations.js';
import { checkAbandonedRequests } from './callers-gone.js';
import { checkConfiguration } from './configuration.js';
import { checkDrainedReplicas } from './drained-replicas.js';
import { type CheckedRun, Evidence } from './evidence.js';
import { checkPoisonRequests } from './poison-requests.js';
import { checkPlannedStops } from './planned-stops.js';
import { checkUnexpectedExits, checkRecovery } from './recovery.js';
import { checkAtMostOnce, checkRefusedNeverRan, checkUnchangedRequests } from './request-checks.js';
import { checkRetryBudget } from './retry-budget.js';
import type { PromiseName, Violation } from './violation.js';
import { checkWholeAnswers } from './whole-answers.js';

const CHECKS: readonly ((evidence: Evidence) => readonly Violation[])[] = [
  checkWholeAnswers,
  checkUnchangedRequests,
  checkAtMostOnce,
  checkRefusedNeverRan,
  checkDrainedReplicas,
  checkConfiguration,
  checkPlannedStops,
  checkRetryBudget,
  checkAbandonedRequests,
  checkPoisonRequests,
  checkRecovery,
  checkUnexpectedExits,
];

/** What the checker says of a run. */
export interface Verdict {
  /** In the order of time. */
  readonly violations: readonly Violation[];
  /** How many cases of each promise were judged. */
  readonly caseCounts: ReadonlyMap<PromiseName, number>;
}

/** Judges a run. */
export const checkRun = (observations: Observations, run: CheckedRun): Verdict => {
  const evidence = new Evidence(observations, run);
  const violations = CHECKS.flatMap((check) => check(evidence));
  return {
    violations: violations.sort((left, right) => left.at - right.at),
    caseCounts: evidence.caseCounts,
  };
};
