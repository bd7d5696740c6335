/** Tries of suspected requests that end without showing whether replicas end under them. */
import { recordInconclusiveTrial } from '../crashes/crash-history.js';
import { updateHistory } from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

const mayStillRun = ({ legs, subqueries }: ActiveRequest): boolean =>
  subqueries.size > 0 || legs.some(({ running }) => running.size > 0);

/** Whether a replica may have been sent the request, from here or by a feeder that has not ended yet. */
const mayHaveReachedReplica = ({ legs, subqueries }: ActiveRequest): boolean =>
  subqueries.size > 0 || legs.some(({ arrivals, runs }) => arrivals + runs > 0);

/**
 * Takes note of a caller's try that ends now: where replicas refused or failed all of it, or its caller has left while one
 * may still run it, the next one waits, at all gateways. Sent at once, it would be at the next replica when the one before
 * ends. A try under which a replica has ended counts as a round instead.
 */
export const noteInconclusive = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const { fingerprint } = request.request;
  const { histories: memory } = state.crashes;
  const hasShown = request.answeredLegs + request.crashes + request.uncheckedBreaks > 0;
  if (
    hasShown ||
    request.origin === 'coordinator' ||
    memory.verdict(fingerprint, at) !== 'suspected' ||
    !mayHaveReachedReplica(request)
  ) {
    return [];
  }
  const paused = recordInconclusiveTrial(memory.find(fingerprint, at), at, mayStillRun(request));
  const origin = { from: state.settings.node, isUrgent: true };
  return updateHistory(state, fingerprint, paused, origin, at);
};
