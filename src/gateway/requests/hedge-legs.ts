/** Hedges slow legs of a request with second attempts. */
import type { GatewayEffect } from '../effect.js';
import { currentSlowdown } from '../replicas/replica.js';
import type { GatewayState } from '../state.js';
import { waitingUpTo } from '../scheduling/wait-for-room.js';
import { sendAttempt } from './attempts.js';
import { guardOf } from './guard.js';
import type { ActiveAttempt, ActiveRequest, Leg } from './request-state.js';
import { latencyOf, latestUsefulHedge } from './route-latency.js';

/**
 * Hedging is postponed while more than this share of the legs is open. The condition is evaluated again after each step,
 * in milliseconds, until this share of the objective has passed, or until a hedge would be too late.
 */
const MAX_OPEN_SHARE = 0.4;
const HEDGE_RECHECK_MS = 4;
const LATEST_HEDGE_SHARE = 0.55;

/**
 * Time after which a deferred hedge is considered again, in usual latencies. After a whole usual latency, the second attempt of
 * an alert was sent too late to be answered in time.
 */
const DEFERRED_RECHECK_RATIO = 0.25;

/**
 * While legs wait for room, hedges are considered again after this time, in milliseconds, or after the usual duration of an
 * attempt if that is longer. With the usual duration of short attempts alone, an overloaded feeder spent most of its time on
 * such checks.
 */
const WAITING_RECHECK_MS = 25;

/**
 * Whether hedging should wait. While most legs are open, the delay is here or in the network, and doubling all of them
 * would add to it; hedging waits until individual legs are slow.
 */
const shouldWaitToHedge = (state: GatewayState, request: ActiveRequest, at: number): boolean => {
  const { receivedAt, objectiveAt, route } = request;
  // A single open leg of two or more is slow by itself.
  const maxOpen = Math.max(1, request.legs.length * MAX_OPEN_SHARE);
  const isMostlyOpen = request.openLegs > maxOpen;
  const useful = latestUsefulHedge(latencyOf(state, request), objectiveAt - receivedAt);
  const latest = receivedAt + Math.min(route.objectiveMs * LATEST_HEDGE_SHARE, useful);
  return request.legs.length > 1 && isMostlyOpen && at < latest;
};

/** Expected duration of a running attempt in usual latencies: its replica's slowdown or the time so far, if greater. */
const expectedRatioOfAttempt = (
  state: GatewayState,
  { replica, sentAt }: ActiveAttempt,
  usualMs: number,
  at: number,
): number => {
  const known = state.replicas.find(replica);
  const slowdown = known === undefined ? 1 : currentSlowdown(known, at);
  return Math.max(slowdown, (at - sentAt) / usualMs);
};

/** Expected duration of the leg's fastest running attempt, in usual latencies; infinity without one. */
const expectedRatioOfLeg = (
  state: GatewayState,
  { running }: Leg,
  usualMs: number,
  at: number,
): number => {
  const attempts = [...running].flatMap((id) => state.attempts.get(id) ?? []);
  const ratios = attempts.map((attempt) => expectedRatioOfAttempt(state, attempt, usualMs, at));
  return Math.min(Number.POSITIVE_INFINITY, ...ratios);
};

interface LegHedge {
  readonly effects: readonly GatewayEffect[];
  /** The hedge may be sent later: no replica is expected to be faster now, or the guard forbids it. */
  readonly isDeferred: boolean;
}

const NO_HEDGE: LegHedge = { effects: [], isDeferred: false };

/**
 * Result for a leg at whose shard first attempts wait or no replica has room, and for a request that may have crashed
 * replicas: no second replica gets it until one has answered.
 */
const DEFERRED_HEDGE: LegHedge = { effects: [], isDeferred: true };

/**
 * Hedges one leg, at a replica that is expected to answer faster than the running attempt. A second slow replica gains
 * nothing, and when all replicas of a shard are slow, second attempts would fill their queues.
 */
const hedgeLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): LegHedge => {
  const isWaiting = leg.resumeAt !== undefined || leg.subquery !== undefined || leg.isHeld;
  const isHedged = leg.running.size > 1;
  if (leg.outcome !== undefined || isWaiting || isHedged) {
    return NO_HEDGE;
  }
  const isBehind = leg.waiting !== undefined || waitingUpTo(state, leg.service, request.rank) > 0;
  if (isBehind || guardOf(state, request, at) !== 'free') {
    return DEFERRED_HEDGE;
  }
  const runningRatio = expectedRatioOfLeg(state, leg, latencyOf(state, request).median, at);
  let isDeferred = false;
  const attempt = sendAttempt(state, request, leg, 'hedge', at, (ratio) => {
    isDeferred = ratio >= runningRatio;
    return !isDeferred;
  });
  if (attempt === 'no-room') {
    return DEFERRED_HEDGE;
  }
  return { effects: attempt === undefined ? [] : [attempt], isDeferred };
};

/** Hedges the open legs of a request; legs whose hedge is deferred are considered again later. */
export const hedgeLegs = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  if (shouldWaitToHedge(state, request, at)) {
    request.hedgeAt = at + HEDGE_RECHECK_MS;
    return [];
  }
  if (!request.route.repeatable) {
    request.hedged = true;
    return [];
  }
  const hedges = request.legs.map((leg) => hedgeLeg(state, request, leg, at));
  request.hedged = !hedges.some(({ isDeferred }) => isDeferred);
  const usualMs = latencyOf(state, request).median;
  const isWaiting = request.legs.some(({ waiting }) => waiting !== undefined);
  const recheckMs = isWaiting
    ? Math.max(WAITING_RECHECK_MS, usualMs)
    : Math.max(HEDGE_RECHECK_MS, usualMs * DEFERRED_RECHECK_RATIO);
  request.hedgeAt = at + recheckMs;
  return hedges.flatMap(({ effects }) => effects);
};
