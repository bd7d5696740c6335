/**
 * Keeps a request that may end the replicas that run it from more of them. As soon as an attempt of a gather has broken
 * off, or replicas are known to have ended under the request before, it is at one replica at a time until one answers:
 * a request that ends replicas costs one of each shard at the first try and one more at each further, while one that was
 * only there is served after one more answer. Its tries go one after the other too. Sent on as any other, it ended nearly
 * all replicas of an index within a tenth of a second, and no request over all shards was served for as long as it came.
 */
import { hash32 } from '../../core/hash.js';
import { trace } from '../log/trace.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** What may be sent for a request: all that it wants, one attempt at a time, or nothing. */
export type Guard = 'free' | 'one-at-a-time' | 'stopped';

const hasBrokenOff = ({ legs, uncheckedBreaks, crashes }: ActiveRequest): boolean =>
  legs.length > 1 && uncheckedBreaks + crashes > 0;

/** One replica was tried after others had ended, and has ended too: its caller may ask again. */
const hasLostProbe = ({ legs, isTrial, hasClaimed, lostProbes }: ActiveRequest): boolean =>
  lostProbes > 0 && (isTrial || hasClaimed || legs.length > 1);

/** What may be sent for the request now. */
export const guardOf = (state: GatewayState, request: ActiveRequest, at: number): Guard => {
  if (request.answeredLegs > 0) {
    return 'free';
  }
  const verdict = state.crashes.histories.verdict(request.request.fingerprint, at);
  const isBlocked = verdict === 'blocked' || verdict === 'trial-due';
  if ((isBlocked && !request.isTrial) || hasLostProbe(request)) {
    return 'stopped';
  }
  return verdict !== 'unsuspected' || hasBrokenOff(request) ? 'one-at-a-time' : 'free';
};

/** Whether no replica works on the request, and none of its attempts has broken off unexplained. */
const isQuiet = ({ legs, subqueries, uncheckedBreaks }: ActiveRequest): boolean =>
  uncheckedBreaks === 0 && subqueries.size === 0 && legs.every(({ running }) => running.size === 0);

/** Whether another try of the same request is at a replica, from this gateway. */
const isAtReplica = ({ attempts }: GatewayState, request: ActiveRequest): boolean =>
  [...attempts.values()].some(
    ({ fingerprint, owner }) => fingerprint === request.request.fingerprint && owner !== request,
  );

/** Whether another try of the same request asks a feeder, from this gateway. */
const isAtFeeder = ({ requests }: GatewayState, request: ActiveRequest): boolean =>
  [...requests.values()].some(
    (other) =>
      other !== request &&
      other.subqueries.size > 0 &&
      other.request.fingerprint === request.request.fingerprint,
  );

/** Whether another try runs from here; a feeder does not wait for one that may be waiting for it. */
const isTriedHere = (state: GatewayState, request: ActiveRequest): boolean =>
  isAtReplica(state, request) || (request.origin === 'caller' && isAtFeeder(state, request));

/**
 * Gateways that wait for the same request go on one after the other, within this time in milliseconds: the first tells the
 * others that it tries.
 */
const SPREAD_MS = 400;
const HASH_RANGE = 2 ** 32;

/**
 * Until when a suspected request is not to be tried from here: another gateway tries it, or its last try has shown nothing.
 * In the past where it may be.
 */
export const pausedUntil = (
  { crashes, settings }: GatewayState,
  { origin, request, isTrial, hasClaimed }: ActiveRequest,
): number => {
  const known = crashes.histories.all().get(request.fingerprint);
  if (known === undefined || origin === 'coordinator' || isTrial || hasClaimed) {
    return Number.NEGATIVE_INFINITY;
  }
  const place = hash32(`${settings.node} ${request.fingerprint}`) / HASH_RANGE;
  return known.trialUntil + SPREAD_MS * place;
};

/**
 * Whether a request that is at one replica at a time may go to the next one. Tries of a suspected request wait for each
 * other: replicas may end long after they began to run it, and all that had begun meanwhile would end too.
 */
export const mayGoOn = (state: GatewayState, request: ActiveRequest, at: number): boolean => {
  const isSuspected =
    state.crashes.histories.verdict(request.request.fingerprint, at) === 'suspected';
  if (!isQuiet(request) || !isSuspected) {
    return isQuiet(request);
  }
  return pausedUntil(state, request) <= at && !isTriedHere(state, request);
};

/** When a request with held legs is looked at again, if nothing wakes it before. */
export const heldUntil = (state: GatewayState, request: ActiveRequest, at: number): number => {
  if (mayGoOn(state, request, at)) {
    return at;
  }
  const until = pausedUntil(state, request);
  return until > at ? until : Number.POSITIVE_INFINITY;
};

/** Keeps a leg without an attempt back until the guard lets it go. */
export const holdLeg = (request: ActiveRequest, leg: Leg, at: number): void => {
  if (!request.legs.some(({ isHeld }) => isHeld)) {
    const { crashes, uncheckedBreaks } = request;
    trace(request.decisions, at, { event: 'legs-held', crashes, uncheckedBreaks });
  }
  leg.isHeld = true;
};
