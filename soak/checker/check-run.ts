/** Checks a run by observations from outside, without using code of the gateway. */
import type { Observations } from '../model/observations.js';
import { checkAbandonedRequests } from './abandoned-requests.js';
import { checkConfiguration } from './configuration.js';
import { checkDrainedReplicas } from './drained-replicas.js';
import { type CheckedRun, Evidence } from './evidence.js';
import { checkPoisonRequests } from './poison-requests.js';
import { checkPlannedStops } from './planned-stops.js';
import { checkClassOrder } from './class-order.js';
import { checkQuotas } from './quotas.js';
import { checkUnexpectedExits, checkRecovery } from './recovery.js';
import { checkAtMostOnce, checkRefusedNeverRan, checkUnchangedRequests } from './request-checks.js';
import { checkRetryBudget } from './retry-budget.js';
import { checkRevokedKeys } from './revoked-keys.js';
import {
  checkHiddenKeys,
  checkNeedlessRejections,
  checkTenantNames,
  checkUnknownKeys,
} from './tenant-identity.js';
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
  checkHiddenKeys,
  checkTenantNames,
  checkUnknownKeys,
  checkRevokedKeys,
  checkNeedlessRejections,
  checkQuotas,
  checkClassOrder,
  checkRecovery,
  checkUnexpectedExits,
];

/** Result of the checks of a run. */
export interface Verdict {
  /** In order of time. */
  readonly violations: readonly Violation[];
  /** Number of cases checked for each promise. */
  readonly caseCounts: ReadonlyMap<PromiseName, number>;
}

/** Checks the observations of a run against all promises. */
export const checkRun = (observations: Observations, run: CheckedRun): Verdict => {
  const evidence = new Evidence(observations, run);
  const violations = CHECKS.flatMap((check) => check(evidence));
  return {
    violations: violations.sort((left, right) => left.at - right.at),
    caseCounts: evidence.caseCounts,
  };
};
