/**
 * Keeps a request that may end the replicas that run it from more of them. As soon as an attempt of a gather has broken
 * off, or replicas are known to have ended under the request before, it is at one replica at a time until one answers:
 * a request that ends replicas costs one of each shard at the first try and one more at each further, while one that was
 * only there is served after one more answer. Sent on as any other, it ended nearly all replicas of an index within a
 * tenth of a second, and no request over all shards was served for as long as it came.
 */
import { trace } from '../log/trace.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** What may be sent for a request: all that it wants, one attempt at a time, or nothing. */
export type Guard = 'free' | 'one-at-a-time' | 'stopped';

const hasBrokenOff = ({ legs, uncheckedBreaks, crashes }: ActiveRequest): boolean =>
  legs.length > 1 && uncheckedBreaks + crashes > 0;

/** One replica was tried after others had ended, and has ended too: its caller may ask again. */
const hasLostProbe = ({ legs, isTrial, lostProbes }: ActiveRequest): boolean =>
  lostProbes > 0 && (isTrial || legs.length > 1);

/** What may be sent for the request now. */
export const guardOf = (state: GatewayState, request: ActiveRequest, at: number): Guard => {
  if (request.answeredLegs > 0) {
    return 'free';
  }
  const verdict = state.crashes.memory.verdict(request.request.fingerprint, at);
  const isBlocked = verdict === 'blocked' || verdict === 'trial-due';
  if ((isBlocked && !request.isTrial) || hasLostProbe(request)) {
    return 'stopped';
  }
  return verdict !== 'unsuspected' || hasBrokenOff(request) ? 'one-at-a-time' : 'free';
};

/** Whether no replica works on the request, and none of its attempts has broken off unexplained. */
export const isQuiet = ({ legs, subqueries, uncheckedBreaks }: ActiveRequest): boolean =>
  uncheckedBreaks === 0 && subqueries.size === 0 && legs.every(({ running }) => running.size === 0);

/** Keeps a leg without an attempt back until the guard lets it go. */
export const holdLeg = (request: ActiveRequest, leg: Leg, at: number): void => {
  if (!request.legs.some(({ isHeld }) => isHeld)) {
    const { crashes, uncheckedBreaks } = request;
    trace(request.decisions, at, { event: 'legs-held', crashes, uncheckedBreaks });
  }
  leg.isHeld = true;
};
