/** Tells the other gateways that this one tries a suspected request, so that they wait for the outcome. */
import { beginTrial } from '../crashes/crash-record.js';
import { SERIOUS_ROUNDS, updateKnowledge } from '../crashes/update-knowledge.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

/**
 * Claims a request under which replicas have ended in several rounds, before it is sent to one more. One that met a single
 * round is not claimed: all that replicas ran when they ended has, and the messages would come when most is to do.
 */
export const claimProbe = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const { fingerprint } = request.request;
  const known = state.crashes.memory.find(fingerprint, at);
  const isClaimable = known.level === 0 && known.rounds >= SERIOUS_ROUNDS;
  if (!isClaimable || request.origin === 'coordinator' || request.isTrial || request.hasClaimed) {
    return [];
  }
  request.hasClaimed = true;
  const origin = { from: state.settings.node, isUrgent: true };
  return updateKnowledge(state, fingerprint, beginTrial(known, at), origin, at);
};
