/** Tries a leg again after a failure: on another replica, or after a pause on all of them. */
import type { GatewayEffect } from '../effect.js';
import type { AttemptReason } from '../log/log-event.js';
import { trace } from '../log/trace.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import { type GatewayState, pauseOutcomesOf } from '../state.js';
import { sendAttempt } from './attempts.js';
import { isPauseWorthwhile, recordPauseOutcome } from './pause-outcomes.js';
import { claimProbe } from './claim-probe.js';
import { guardOf, holdLeg, maySendNext } from './guard.js';
import type { ActiveRequest, Leg, LegOutcome } from './request-state.js';

/** Pauses before all replicas are tried again, in milliseconds: doubled each time. */
const FIRST_PAUSE_MS = 30;
const MAX_PAUSES = 6;

/** A request that no replica has run is not held for longer than this part of its objective. */
const MAX_UNRUN_PAUSE_SHARE = 0.2;

/** Ends a leg, with an answer or without. */
export const endLeg = (request: ActiveRequest, leg: Leg, outcome: LegOutcome): void => {
  leg.outcome = outcome;
  leg.resumeAt = undefined;
  leg.subquery = undefined;
  request.openLegs -= 1;
  if (outcome.type !== 'unanswered') {
    request.answeredLegs += 1;
  }
};

/** A leg that has paused shows whether pauses pay. */
export const recordLegPauses = (state: GatewayState, { pauses, service, outcome }: Leg): void => {
  if (pauses > 0) {
    recordPauseOutcome(pauseOutcomesOf(state, service), outcome?.type !== 'unanswered');
  }
};

/** Legs beside others cost nobody time: the request waits for those all the same. */
const isWaitingWorthwhile = (
  state: GatewayState,
  { legs }: ActiveRequest,
  { service }: Leg,
): boolean =>
  legs.length > 1 || isPauseWorthwhile(pauseOutcomesOf(state, service), state.random.next());

/** Until when the leg may pause: for long only beside others that replicas work on. */
const latestResumeAt = ({ legs, receivedAt, deadlineAt, route }: ActiveRequest): number =>
  legs.length > 1 ? deadlineAt : receivedAt + route.objectiveMs * MAX_UNRUN_PAUSE_SHARE;

/** Pauses a leg that may be tried again later; false when it has paused enough. */
const pauseLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): boolean => {
  const resumeAt = at + FIRST_PAUSE_MS * 2 ** leg.pauses;
  const { repeatable, maxAttempts, allowedRegions } = request.route;
  const hasReplicas = eligibleReplicas(state, leg.service, allowedRegions).length > 0;
  const mayRunAgain = leg.runs === 0 || (repeatable && leg.runs < maxAttempts);
  const isWorthwhile = hasReplicas && mayRunAgain && leg.pauses < MAX_PAUSES;
  const isTooLate = resumeAt >= latestResumeAt(request);
  if (!isWorthwhile || isTooLate || !isWaitingWorthwhile(state, request, leg)) {
    return false;
  }
  leg.pauses += 1;
  leg.resumeAt = resumeAt;
  const forMs = resumeAt - at;
  trace(request.decisions, at, { event: 'leg-paused', service: leg.service, forMs });
  return true;
};

/** Ends a leg for which nothing more may be sent. */
const failLeg = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): void => {
  trace(request.decisions, at, { event: 'leg-failed', service: leg.service, runs: leg.runs });
  endLeg(request, leg, { type: 'unanswered' });
  recordLegPauses(state, leg);
};

/**
 * Sends another attempt for the leg; it pauses, or ends unanswered, when none may be sent. It is held, or ends, where
 * replicas may have ended under the request.
 */
export const retryLeg = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  at: number,
): GatewayEffect[] => {
  const guard = guardOf(state, request, at);
  const isRunning = leg.running.size > 0;
  if (guard === 'one-at-a-time' && !maySendNext(state, request, at)) {
    if (!isRunning) {
      holdLeg(request, leg, at);
    }
    return [];
  }
  const attempt = guard === 'stopped' ? undefined : sendAttempt(state, request, leg, reason, at);
  if (attempt !== undefined) {
    return [...claimProbe(state, request, at), attempt];
  }
  if (guard === 'stopped') {
    request.isStopped = true;
  }
  if (!isRunning && (guard === 'stopped' || !pauseLeg(state, request, leg, at))) {
    failLeg(state, request, leg, at);
  }
  return [];
};
