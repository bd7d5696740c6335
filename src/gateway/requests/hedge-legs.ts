/** Sends second attempts for the legs of a request that take long. */
import type { GatewayEffect } from '../effect.js';
import { slowdownNow } from '../replicas/replica.js';
import type { GatewayState } from '../state.js';
import { latencyOf, sendAttempt } from './attempts.js';
import { guardOf } from './guard.js';
import type { ActiveAttempt, ActiveRequest, Leg } from './request-state.js';

/** A hedge waits while more than this part of the legs is open, in steps, and for so long. */
const MAX_OPEN_SHARE = 0.4;
const HEDGE_RECHECK_MS = 4;
const LATEST_HEDGE_SHARE = 0.55;

/**
 * When most legs are open, the time is lost here or in the network, and doubling them all would only
 * add to it: the hedge waits until the slow ones stand out.
 */
const shouldWaitToHedge = (request: ActiveRequest, at: number): boolean => {
  const isMostlyOpen = request.openLegs > request.legs.length * MAX_OPEN_SHARE;
  const latest = request.receivedAt + request.route.objectiveMs * LATEST_HEDGE_SHARE;
  return request.legs.length > 1 && isMostlyOpen && at < latest;
};

/** How long an attempt that runs takes, as far as is known: its replica's pace, or the time so far. */
const expectedRatioOfAttempt = (
  state: GatewayState,
  { replica, sentAt }: ActiveAttempt,
  usualMs: number,
  at: number,
): number => {
  const known = state.replicas.find(replica);
  const slowdown = known === undefined ? 1 : slowdownNow(known, at);
  return Math.max(slowdown, (at - sentAt) / usualMs);
};

/** The attempt of the leg that is expected to end first, in usual latencies. */
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
  /** No replica is expected to be quicker than the attempt that runs; one may be when it has run longer. */
  readonly isDeferred: boolean;
}

const NO_HEDGE: LegHedge = { effects: [], isDeferred: false };

/** Replicas may have ended under the request: no second one is sent it before one has answered. */
const DEFERRED_HEDGE: LegHedge = { effects: [], isDeferred: true };

/**
 * Hedges one leg, at a replica that is expected to answer in less time than the attempt that runs takes. One
 * slow replica in place of another gains nothing, and where all replicas of a shard are slow the second
 * attempts are what fills their queues.
 */
const hedgeLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): LegHedge => {
  const isWaiting = leg.resumeAt !== undefined || leg.subquery !== undefined || leg.isHeld;
  const isHedged = leg.running.size > 1;
  if (leg.outcome !== undefined || isWaiting || isHedged) {
    return NO_HEDGE;
  }
  if (guardOf(state, request, at) !== 'free') {
    return DEFERRED_HEDGE;
  }
  const runningRatio = expectedRatioOfLeg(state, leg, latencyOf(state, request).median, at);
  let isDeferred = false;
  const attempt = sendAttempt(state, request, leg, 'hedge', at, (ratio) => {
    isDeferred = ratio >= runningRatio;
    return !isDeferred;
  });
  return { effects: attempt === undefined ? [] : [attempt], isDeferred };
};

/** Hedges the open legs of a request; those that are put off are looked at again. */
export const hedgeLegs = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  if (shouldWaitToHedge(request, at)) {
    request.hedgeAt = at + HEDGE_RECHECK_MS;
    return [];
  }
  if (!request.route.repeatable) {
    request.hedged = true;
    return [];
  }
  const hedges = request.legs.map((leg) => hedgeLeg(state, request, leg, at));
  request.hedged = !hedges.some(({ isDeferred }) => isDeferred);
  request.hedgeAt = at + latencyOf(state, request).median;
  return hedges.flatMap(({ effects }) => effects);
};
