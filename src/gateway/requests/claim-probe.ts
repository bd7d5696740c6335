/** Claims the probe of a suspected request, so that the other gateways wait for its outcome. */
import { markTrialStarted, SERIOUS_ROUNDS, type CrashHistory } from '../crashes/crash-history.js';
import { updateHistory } from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

/**
 * Whether a probe is published to the other gateways: after a single round only when an earlier attempt was
 * inconclusive, since every request that was running on a crashed replica has one round, and the messages would be sent
 * when the load is highest.
 */
const isClaimable = ({ level, rounds, trialUntil }: CrashHistory): boolean =>
  level === 0 && rounds > 0 && (rounds >= SERIOUS_ROUNDS || Number.isFinite(trialUntil));

/** Publishes that this gateway sends a request that has crashed replicas to one more replica. */
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
