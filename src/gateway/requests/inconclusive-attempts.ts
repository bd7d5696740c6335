/** Calls of suspected requests that end without showing whether the request crashes replicas. */
import { recordInconclusiveTrial } from '../crashes/crash-history.js';
import { updateHistory } from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

const mayStillRun = ({ legs, subqueries }: ActiveRequest): boolean =>
  subqueries.size > 0 || legs.some(({ running }) => running.size > 0);

/** Whether the request may have reached a replica, from here or through a subquery that is still open. */
const mayHaveReachedReplica = ({ legs, subqueries }: ActiveRequest): boolean =>
  subqueries.size > 0 || legs.some(({ arrivals, runs }) => arrivals + runs > 0);

/**
 * Records that a caller's call of a suspected request ends without evidence: replicas refused or failed every attempt, or
 * the caller left while a replica may still be running one. The next call is then delayed at all gateways; sent at once,
 * it would be running on the next replica when the previous one crashes. A call that crashed a replica counts as a round
 * instead.
 */
export const recordInconclusive = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const { fingerprint } = request.request;
  const { histories } = state.crashes;
  const hasEvidence = request.answeredLegs + request.crashes + request.uncheckedBreaks > 0;
  if (
    hasEvidence ||
    request.origin === 'coordinator' ||
    histories.verdict(fingerprint, at) !== 'suspected' ||
    !mayHaveReachedReplica(request)
  ) {
    return [];
  }
  const paused = recordInconclusiveTrial(histories.find(fingerprint, at), at, mayStillRun(request));
  const origin = { from: state.settings.node, isUrgent: true };
  return updateHistory(state, fingerprint, paused, origin, at);
};
