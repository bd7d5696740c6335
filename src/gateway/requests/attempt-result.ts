/** Handles the end of attempts: a usable answer ends the leg, a failure may lead to a retry. */
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded, CallerLeft, RequestDue } from '../event.js';
import type { Decision } from '../log/log-event.js';
import { recordDecision, writeTrace } from '../log/trace.js';
import type { AttemptProblem, AttemptResult } from '../model/request.js';
import { handleTokenDue } from '../quotas/admit-waiting.js';
import { removeWaitingCall } from '../quotas/take-token.js';
import type { GatewayState } from '../state.js';
import { recordTimer } from './answer-delays.js';
import { recordArrived } from './answer-timing.js';
import { recordRunEnd, progressHeldRequests } from './broken-attempts.js';
import { abortLeg, giveUpAttempts, LINGER_MS } from './give-up-attempts.js';
import { FIRST_FAILURE_STATUS, isUsable } from './usable-answer.js';
import { refuseHeldRequest } from './hold-request.js';
import { recordInconclusive } from './inconclusive-attempts.js';
import { progressRequest } from './progress.js';
import { type ActiveAttempt, type ActiveRequest, isGather, type Leg } from './request-state.js';
import { endLeg, recordLegPauses, retryLeg } from './retry-leg.js';
import { settleAttempt } from './settle-attempt.js';
import { recordUnreadableAnswer } from './unreadable-answers.js';

const MS_PER_SECOND = 1_000;

const applyLegResult = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  result: AttemptResult,
  at: number,
): GatewayEffect[] => {
  if (result.type === 'answered' && isUsable(result.answer, isGather(request))) {
    endLeg(request, leg, { type: 'answered', answer: result.answer });
    recordLegPauses(state, leg);
    return abortLeg(leg, LINGER_MS);
  }
  if (result.type === 'answered' && result.answer.status >= FIRST_FAILURE_STATUS) {
    leg.failure = result.answer;
  }
  return retryLeg(state, request, leg, 'retry', at);
};

const outcomeOf = (result: AttemptResult): AttemptProblem | 'answered' | 'not-run' => {
  switch (result.type) {
    case 'answered':
      return 'answered';
    case 'refused':
      return 'not-run';
    case 'failed':
      return result.problem;
  }
};

const describeAttemptEnd = (
  attempt: ActiveAttempt,
  { result, at }: AttemptEnded,
  dropped: boolean,
): Decision => ({
  event: 'attempt-ended',
  attempt: attempt.id,
  replica: attempt.replica,
  outcome: outcomeOf(result),
  ...(result.type === 'answered' && { status: result.answer.status }),
  elapsedMs: Math.round(at - attempt.sentAt),
  dropped,
});

/** Counts a run that ended after its request, or after its leg, had ended. */
const countUnawaited = (
  { counters }: GatewayState,
  { leg }: ActiveAttempt,
  { result }: AttemptEnded,
): void => {
  const hasNotRun = result.type === 'refused' || (result.type === 'failed' && !result.mayHaveRun);
  if (!hasNotRun) {
    counters.unawaitedRuns.add(leg.service, outcomeOf(result));
  }
};

/** Handles `attempt-ended`. */
export const handleAttemptEnded = (state: GatewayState, event: AttemptEnded): GatewayEffect[] => {
  const attempt = settleAttempt(state, event);
  if (attempt === undefined) {
    return [];
  }
  const { fingerprint } = attempt;
  const runEndEffects = recordRunEnd(state, attempt, event);
  const taken = applyRequestResult(state, attempt, event);
  const isSuspected = state.crashes.histories.verdict(fingerprint, event.at) !== 'unsuspected';
  return [
    ...recordUnreadableAnswer(state, attempt, event),
    ...runEndEffects,
    ...taken,
    ...(isSuspected ? progressHeldRequests(state, fingerprint, event.at) : []),
  ];
};

const applyRequestResult = (
  state: GatewayState,
  attempt: ActiveAttempt,
  event: AttemptEnded,
): GatewayEffect[] => {
  const request = state.requests.get(attempt.owner.call);
  if (request === undefined || attempt.leg.outcome !== undefined) {
    countUnawaited(state, attempt, event);
  }
  if (request === undefined) {
    return [];
  }
  const elapsedSeconds = (event.at - attempt.sentAt) / MS_PER_SECOND;
  state.counters.attemptDuration.observe(elapsedSeconds, outcomeOf(event.result));
  const dropped = attempt.leg.outcome !== undefined;
  recordDecision(request.decisions, event.at, describeAttemptEnd(attempt, event, dropped));
  if (dropped) {
    return [];
  }
  const effects = applyLegResult(state, request, attempt.leg, event.result, event.at);
  const { outcome, resumeAt } = attempt.leg;
  if (outcome?.type === 'answered') {
    recordArrived(state, request, 1, event.at - attempt.sentAt);
  }
  const isHolding = request.legs.some(({ isHeld }) => isHeld);
  if (outcome === undefined && resumeAt === undefined && !isHolding) {
    return effects;
  }
  return [...effects, ...progressRequest(state, request, event.at)];
};

/** Handles `request-due`. */
export const handleRequestDue = (
  state: GatewayState,
  { call, at }: RequestDue,
): GatewayEffect[] => {
  const request = state.requests.get(call);
  recordTimer(state.answerDelays, request?.timerAt, at);
  return request === undefined
    ? (handleTokenDue(state, call, at) ?? refuseHeldRequest(state, call, at))
    : progressRequest(state, request, at);
};

/**
 * Handles `caller-left`: closes the connections of the request's attempts, at once unless the request may have crashed
 * replicas.
 */
export const handleCallerLeft = (
  state: GatewayState,
  { call, at }: CallerLeft,
): GatewayEffect[] => {
  const request = state.requests.get(call);
  if (request === undefined) {
    const wasWaiting = removeWaitingCall(state, call) || state.held.delete(call);
    return wasWaiting ? [{ type: 'discard-call', call }] : [];
  }
  state.requests.delete(call);
  const elapsedMs = Math.round(at - request.receivedAt);
  recordDecision(request.decisions, at, { event: 'caller-left', elapsedMs });
  return [
    { type: 'discard-call', call },
    ...recordInconclusive(state, request, at),
    ...giveUpAttempts(state, request, 0, at),
    ...writeTrace(request.request.requestId, request.decisions, true),
  ];
};
