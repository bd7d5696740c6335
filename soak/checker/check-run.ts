/** Judges a run by what was seen from outside; nothing of the gateway's own code is used. */
import type { Observations } from '../model/observations.js';
import { checkCallersGone } from './callers-gone.js';
import { checkConfiguration } from './configuration.js';
import { checkDrainedReplicas } from './drained-replicas.js';
import { type CheckedRun, Evidence } from './evidence.js';
import { checkPlannedStops } from './planned-stops.js';
import { checkOwnEnds, checkRecovery } from './recovery.js';
import { checkAtMostOnce, checkRefusedNeverRan, checkUnchangedRequests } from './request-checks.js';
import { checkRetryBudget } from './retry-budget.js';
import type { Violation } from './violation.js';
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
  checkCallersGone,
  checkRecovery,
  checkOwnEnds,
];

/** All violations, in the order of time. */
export const checkRun = (observations: Observations, run: CheckedRun): readonly Violation[] => {
  const evidence = new Evidence(observations, run);
  return CHECKS.flatMap((check) => check(evidence)).sort((left, right) => left.at - right.at);
};
