/** Sends second attempts for the legs of a request that take long. */
import type { GatewayEffect } from '../effect.js';
import { currentSlowdown } from '../replicas/replica.js';
import type { GatewayState } from '../state.js';
import { latencyOf, sendAttempt } from './attempts.js';
import { guardOf } from './guard.js';
import type { ActiveAttempt, ActiveRequest, Leg } from './request-state.js';

/** A hedge waits while more than this part of the legs is open, in steps, and for so long. */
const MOST_OPEN_LEGS = 0.4;
const HEDGE_STEP_MS = 4;
const LATEST_HEDGE = 0.55;

/**
 * When most legs are open, the time is lost here or in the network, and doubling them all would only
 * add to it: the hedge waits until the slow ones stand out.
 */
const shouldWaitToHedge = (request: ActiveRequest, at: number): boolean => {
  const isMostlyOpen = request.openLegs > request.legs.length * MOST_OPEN_LEGS;
  const latest = request.receivedAt + request.route.objectiveMs * LATEST_HEDGE;
  return request.legs.length > 1 && isMostlyOpen && at < latest;
};

/** How long an attempt that runs takes, as far as is known: its replica's pace, or the time so far. */
const ratioOfRunning = (
  state: GatewayState,
  { replica, sentAt }: ActiveAttempt,
  usualMs: number,
  at: number,
): number => {
  const known = state.replicas.find(replica);
  const pace = known === undefined ? 1 : currentSlowdown(known, at);
  return Math.max(pace, (at - sentAt) / usualMs);
};

/** The attempt of the leg that is expected to end first, in usual latencies. */
const ratioOfLeg = (state: GatewayState, { running }: Leg, usualMs: number, at: number): number => {
  const attempts = [...running].flatMap((id) => state.attempts.get(id) ?? []);
  const ratios = attempts.map((attempt) => ratioOfRunning(state, attempt, usualMs, at));
  return Math.min(Number.POSITIVE_INFINITY, ...ratios);
};

interface LegHedge {
  readonly effects: readonly GatewayEffect[];
  /** No replica is expected to be quicker than the attempt that runs; one may be when it has run longer. */
  readonly isPutOff: boolean;
}

const NO_HEDGE: LegHedge = { effects: [], isPutOff: false };

/** Replicas may have ended under the request: no second one is sent it before one has answered. */
const GUARDED: LegHedge = { effects: [], isPutOff: true };

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
    return GUARDED;
  }
  const runningRatio = ratioOfLeg(state, leg, latencyOf(state, request).median, at);
  let isPutOff = false;
  const attempt = sendAttempt(state, request, leg, 'hedge', at, (ratio) => {
    isPutOff = ratio >= runningRatio;
    return !isPutOff;
  });
  return { effects: attempt === undefined ? [] : [attempt], isPutOff };
};

/** Hedges the open legs of a request; those that are put off are looked at again. */
export const hedgeLegs = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  if (shouldWaitToHedge(request, at)) {
    request.hedgeAt = at + HEDGE_STEP_MS;
    return [];
  }
  if (!request.route.repeatable) {
    request.hedged = true;
    return [];
  }
  const hedges = request.legs.map((leg) => hedgeLeg(state, request, leg, at));
  request.hedged = !hedges.some(({ isPutOff }) => isPutOff);
  request.hedgeAt = at + latencyOf(state, request).median;
  return hedges.flatMap(({ effects }) => effects);
};
