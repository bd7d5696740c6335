/** Retries a leg after a failure: at another replica, or at any of them after a pause. */
import type { GatewayEffect } from '../effect.js';
import type { AttemptReason } from '../log/log-event.js';
import { recordDecision } from '../log/trace.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import { type GatewayState, legPauseOutcomesOf } from '../state.js';
import { canAnswerBeforeStop } from '../stop/time-left.js';
import { hasWaiting, waitForRoom, waitingUpTo } from '../scheduling/wait-for-room.js';
import { canAttempt, sendAttempt } from './attempts.js';
import { isLegPauseWorthwhile, recordLegPauseOutcome } from './leg-pause-outcomes.js';
import { claimProbe } from './claim-probe.js';
import { guardOf, holdLeg, maySendNext } from './guard.js';
import type { ActiveRequest, Leg, LegOutcome } from './request-state.js';
import { latencyOf } from './route-latency.js';

/** First pause before all replicas may be used again, in milliseconds, doubled each time, and the number of pauses. */
const FIRST_PAUSE_MS = 30;
const MAX_PAUSES = 6;

/** Share of the objective within which a request of a single leg must resume from a pause. */
const SINGLE_LEG_PAUSE_SHARE = 0.2;

/** Ends a leg with or without an answer. */
export const endLeg = (request: ActiveRequest, leg: Leg, outcome: LegOutcome): void => {
  leg.outcome = outcome;
  leg.resumeAt = undefined;
  leg.subquery = undefined;
  request.openLegs -= 1;
  if (outcome.type !== 'unanswered') {
    request.answeredLegs += 1;
  }
};

/** Records whether the pauses of an ended leg led to an answer; does nothing if it has not paused. */
export const recordLegPauses = (state: GatewayState, { pauses, service, outcome }: Leg): void => {
  if (pauses > 0) {
    recordLegPauseOutcome(legPauseOutcomesOf(state, service), outcome?.type !== 'unanswered');
  }
};

/** Whether a leg should pause. Beside other legs a pause costs no time, since the request waits for those anyway. */
const isPauseWorthwhile = (
  state: GatewayState,
  { legs }: ActiveRequest,
  { service }: Leg,
): boolean =>
  legs.length > 1 || isLegPauseWorthwhile(legPauseOutcomesOf(state, service), state.random.next());

/** Time before which a pause must end: the deadline for a request of several legs, earlier for a single one. */
const latestResumeAt = ({ legs, receivedAt, deadlineAt, route }: ActiveRequest): number =>
  legs.length > 1 ? deadlineAt : receivedAt + route.objectiveMs * SINGLE_LEG_PAUSE_SHARE;

/** Pauses a leg if a later attempt is allowed and worthwhile; false otherwise. */
const pauseLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): boolean => {
  const resumeAt = at + FIRST_PAUSE_MS * 2 ** leg.pauses;
  const { repeatable, maxAttempts, allowedRegions } = request.route;
  const hasReplicas = eligibleReplicas(state, leg.service, allowedRegions).length > 0;
  const mayRunAgain = leg.runs === 0 || (repeatable && leg.runs < maxAttempts);
  const isWorthwhile = hasReplicas && mayRunAgain && leg.pauses < MAX_PAUSES;
  const { route, ownDeadlineAt } = request;
  const isTooLate =
    resumeAt >= latestResumeAt(request) ||
    !canAnswerBeforeStop(state, route, ownDeadlineAt, resumeAt, leg.service);
  if (!isWorthwhile || isTooLate || !isPauseWorthwhile(state, request, leg)) {
    return false;
  }
  leg.pauses += 1;
  leg.resumeAt = resumeAt;
  const forMs = resumeAt - at;
  recordDecision(request.decisions, at, { event: 'leg-paused', service: leg.service, forMs });
  return true;
};

/** Ends a leg for which no more attempts may be sent. */
const failLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): void => {
  recordDecision(request.decisions, at, {
    event: 'leg-failed',
    service: leg.service,
    runs: leg.runs,
  });
  endLeg(request, leg, { type: 'unanswered' });
  recordLegPauses(state, leg);
};

/**
 * Sends another attempt for the leg. When none may be sent and none is running, the leg pauses or ends unanswered; if the
 * request may have crashed replicas, the leg is held or ends. Returns `no-room` without any change when the replicas have no
 * room for an attempt.
 */
export const attemptLeg = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  at: number,
): GatewayEffect[] | 'no-room' => {
  const guard = guardOf(state, request, at);
  const isRunning = leg.running.size > 0;
  if (guard === 'one-at-a-time' && !maySendNext(state, request, at)) {
    if (!isRunning) {
      holdLeg(request, leg, at);
    }
    return [];
  }
  const attempt = guard === 'stopped' ? undefined : sendAttempt(state, request, leg, reason, at);
  if (attempt === 'no-room') {
    return 'no-room';
  }
  if (attempt !== undefined) {
    return [...claimProbe(state, request, at), attempt];
  }
  if (guard === 'stopped') {
    request.isStopped = true;
    // The leg counts as sent, so that the coordinator does not request it from another feeder.
    leg.wasSent = true;
  }
  if (!isRunning && (guard === 'stopped' || !pauseLeg(state, request, leg, at))) {
    failLeg(state, request, leg, at);
  }
  return [];
};

/**
 * Sends another attempt for the leg as `attemptLeg` does, or lets it wait while the replicas have no room or other attempts
 * wait for them. A leg that has a running attempt, or for which no attempt can be sent, does not wait.
 */
export const retryLeg = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  at: number,
): GatewayEffect[] => {
  const isRunning = leg.running.size > 0;
  const mustWait = isRunning
    ? waitingUpTo(state, leg.service, request.rank) > 0
    : hasWaiting(state, leg.service) && canAttempt(state, request, leg);
  const attempt = mustWait ? 'no-room' : attemptLeg(state, request, leg, reason, at);
  if (attempt !== 'no-room') {
    return attempt;
  }
  if (!isRunning) {
    waitForRoom(state, request, leg, reason, latencyOf(state, request).median, at);
  }
  return [];
};
