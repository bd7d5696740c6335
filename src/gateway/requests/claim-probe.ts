/** Tells the other gateways that this one tries a suspected request, so that they wait for the outcome. */
import { markTrialStarted, type CrashHistory } from '../crashes/crash-history.js';
import { SERIOUS_ROUNDS, updateHistory } from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

/**
 * Whether others are told of a try. Of a request that met a single round they are not, unless a try of it has shown nothing
 * since: all that replicas ran when they ended has met one, and the messages would come when most is to do.
 */
const isClaimable = ({ level, rounds, trialUntil }: CrashHistory): boolean =>
  level === 0 && rounds > 0 && (rounds >= SERIOUS_ROUNDS || Number.isFinite(trialUntil));

/** Claims a request under which replicas have ended, before it is sent to one more. */
export const claimProbe = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const { fingerprint } = request.request;
  const known = state.crashes.histories.find(fingerprint, at);
  if (
    !isClaimable(known) ||
    request.origin === 'coordinator' ||
    request.isTrial ||
    request.hasClaimed
  ) {
    return [];
  }
  request.hasClaimed = true;
  const origin = { from: state.settings.node, isUrgent: true };
  return updateHistory(state, fingerprint, markTrialStarted(known, at), origin, at);
};
