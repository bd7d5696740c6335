/**
 * Limits how many replicas a poison request can crash. Once an attempt of a gather has broken off, or the request is
 * known to have crashed replicas, it is sent to one replica at a time until one answers. A poison request then costs one
 * replica of each shard on its first call and one more on each further call, while a request that merely ran on a crashed
 * replica is served after one more answer. Concurrent calls of the same request also take turns. Without this limit, a
 * poison request crashed nearly all replicas of an index within a tenth of a second, and no request over all shards was
 * served for as long as it was repeated.
 */
import { hash32 } from '../../core/hash.js';
import { recordDecision } from '../log/trace.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** What may be sent for a request: any number of attempts, one at a time, or none. */
export type Guard = 'free' | 'one-at-a-time' | 'stopped';

const hasUnansweredBreak = ({ legs, uncheckedBreaks, crashes }: ActiveRequest): boolean =>
  legs.length > 1 && uncheckedBreaks + crashes > 0;

/** A probe, sent after other replicas had crashed, crashed its replica as well; the caller may retry. */
const hasCrashedProbe = ({ legs, isTrial, hasClaimed, crashedProbes }: ActiveRequest): boolean =>
  crashedProbes > 0 && (isTrial || hasClaimed || legs.length > 1);

/** What may be sent for the request at time `at`. */
export const guardOf = (state: GatewayState, request: ActiveRequest, at: number): Guard => {
  if (request.answeredLegs > 0) {
    return 'free';
  }
  const verdict = state.crashes.histories.verdict(request.request.fingerprint, at);
  const isBlocked = verdict === 'blocked' || verdict === 'trial-due';
  if ((isBlocked && !request.isTrial) || hasCrashedProbe(request)) {
    return 'stopped';
  }
  return verdict !== 'unsuspected' || hasUnansweredBreak(request) ? 'one-at-a-time' : 'free';
};

/** Whether no attempt or subquery of the request is running, and none of its breaks is still unchecked. */
const isIdle = ({ legs, subqueries, uncheckedBreaks }: ActiveRequest): boolean =>
  uncheckedBreaks === 0 && subqueries.size === 0 && legs.every(({ running }) => running.size === 0);

/** Whether another call with the same fingerprint has an attempt running from this gateway. */
const hasOtherAttempt = ({ attempts }: GatewayState, request: ActiveRequest): boolean =>
  [...attempts.values()].some(
    ({ fingerprint, owner }) => fingerprint === request.request.fingerprint && owner !== request,
  );

/** Whether another call with the same fingerprint has a subquery open from this gateway. */
const hasOtherSubquery = ({ requests }: GatewayState, request: ActiveRequest): boolean =>
  [...requests.values()].some(
    (other) =>
      other !== request &&
      other.subqueries.size > 0 &&
      other.request.fingerprint === request.request.fingerprint,
  );

/** Whether another call sends the request from here; a feeder ignores subqueries, which may be waiting for it. */
const isSentByOtherCall = (state: GatewayState, request: ActiveRequest): boolean =>
  hasOtherAttempt(state, request) ||
  (request.origin === 'caller' && hasOtherSubquery(state, request));

/**
 * Gateways that wait for the same request resume at different times within this period, in milliseconds: the first one
 * informs the others of its attempt.
 */
const STAGGER_MS = 400;
const HASH_RANGE = 2 ** 32;

/**
 * Time until which this gateway does not send a suspected request, because another gateway is sending it or its last
 * attempt was inconclusive. Not in the future when the request may be sent.
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
  return known.trialUntil + STAGGER_MS * place;
};

/**
 * Whether a request that is limited to one replica at a time may be sent to the next one. Calls of a suspected request
 * wait for each other: a replica may crash long after it began to run the request, and by then every other replica that
 * had begun to run it would crash too.
 */
export const maySendNext = (state: GatewayState, request: ActiveRequest, at: number): boolean => {
  const isSuspected =
    state.crashes.histories.verdict(request.request.fingerprint, at) === 'suspected';
  if (!isIdle(request) || !isSuspected) {
    return isIdle(request);
  }
  return pausedUntil(state, request) <= at && !isSentByOtherCall(state, request);
};

/** When a request with held legs is progressed again unless an event does so earlier; infinity if only an event can. */
export const heldUntil = (state: GatewayState, request: ActiveRequest, at: number): number => {
  if (maySendNext(state, request, at)) {
    return at;
  }
  const until = pausedUntil(state, request);
  return until > at ? until : Number.POSITIVE_INFINITY;
};

/** Holds a leg without an attempt until the guard allows it to be sent. */
export const holdLeg = (request: ActiveRequest, leg: Leg, at: number): void => {
  if (!request.legs.some(({ isHeld }) => isHeld)) {
    const { crashes, uncheckedBreaks } = request;
    recordDecision(request.decisions, at, { event: 'legs-held', crashes, uncheckedBreaks });
  }
  leg.isHeld = true;
};
