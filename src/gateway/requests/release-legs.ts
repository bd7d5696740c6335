/** Releases legs that were held because their request may have crashed replicas. */
import type { GatewayEffect } from '../effect.js';
import { recordDecision } from '../log/trace.js';
import type { GatewayState } from '../state.js';
import { guardOf, maySendNext } from './guard.js';
import type { ActiveRequest, Leg } from './request-state.js';
import { endLeg, retryLeg } from './retry-leg.js';
import { sendLegs } from './send-legs.js';

/** Ends a leg that may not be sent; it counts as sent, so that the coordinator does not request it from another feeder. */
const failHeldLeg = (request: ActiveRequest, leg: Leg, at: number): void => {
  leg.wasSent = true;
  recordDecision(request.decisions, at, {
    event: 'leg-failed',
    service: leg.service,
    runs: leg.runs,
  });
  endLeg(request, leg, { type: 'unanswered' });
};

const resumeLeg = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  at: number,
): GatewayEffect[] =>
  leg.wasSent
    ? retryLeg(state, request, leg, 'retry', at)
    : sendLegs(state, request, [leg], leg.isRepeat, at);

/** The held legs, rotated to a random start, so that repeated calls of a request reach different shards. */
const heldLegsFromRandomStart = (state: GatewayState, { legs }: ActiveRequest): readonly Leg[] => {
  const held = legs.filter(({ isHeld }) => isHeld);
  const start = held.length < 2 ? 0 : Math.floor(state.random.next() * held.length);
  return [...held.slice(start), ...held.slice(0, start)];
};

/** Releases as many held legs as the guard allows: all, one or none. All of them end when the request may not be sent. */
export const releaseLegs = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  for (const leg of heldLegsFromRandomStart(state, request)) {
    const guard = guardOf(state, request, at);
    if (guard === 'one-at-a-time' && !maySendNext(state, request, at)) {
      break;
    }
    leg.isHeld = false;
    if (guard === 'stopped') {
      request.isStopped = true;
      failHeldLeg(request, leg, at);
    } else {
      effects.push(...resumeLeg(state, request, leg, at));
    }
  }
  return effects;
};
