/** Decides the next step of a request: end, hedge or wait. */
import type { GatewayEffect } from '../effect.js';
import type { RefusalReason } from '../model/request.js';
import { type GatherTarget, minShards } from '../model/route.js';
import type { GatewayState } from '../state.js';
import { canAnswerBeforeStop } from '../stop/time-left.js';
import { decideAnswer, recordMissing } from './answer-timing.js';
import { checkSubqueries } from './check-subqueries.js';
import { hedgeLegs } from './hedge-legs.js';
import { retryLeg } from './retry-leg.js';
import { finishGather, finishRequest, giveUpRequest } from './finish.js';
import { shouldSendEarly } from './parts-timing.js';
import { finishSubquery, hasUrgentReport, reportParts } from './report-parts.js';
import { heldUntil } from './guard.js';
import { releaseLegs } from './release-legs.js';
import type { ActiveRequest, Leg } from './request-state.js';

const canComplete = (request: ActiveRequest, needed: number): boolean =>
  request.answeredLegs + request.openLegs >= needed;

const progressGather = (
  state: GatewayState,
  request: ActiveRequest,
  target: GatherTarget,
  at: number,
): GatewayEffect[] => {
  const needed = minShards(target);
  if (!canComplete(request, needed)) {
    return giveUpRequest(state, request, refusalReasonOf(state, request, at), at);
  }
  const isEnough = request.answeredLegs >= needed;
  if (!isEnough) {
    return waitOrHedge(state, request, at, request.objectiveAt);
  }
  const { answerAt, inputs } = decideAnswer(state, request, at);
  if (request.openLegs === 0 || at >= answerAt) {
    request.answerInputs = inputs;
    recordMissing(state, request, at);
    return finishGather(state, request, target.maxRecords, at);
  }
  return waitOrHedge(state, request, at, answerAt);
};

type UnansweredReason = Extract<
  RefusalReason,
  | 'too-few-shards'
  | 'no-room'
  | 'no-replica'
  | 'replicas-full'
  | 'answer-lost'
  | 'replicas-crashed'
  | 'stopping'
>;

/** Whether no further attempt was sent because the process ends too soon. */
const isStopTooNear = (
  state: GatewayState,
  { route, ownDeadlineAt, legs }: ActiveRequest,
  at: number,
): boolean => !canAnswerBeforeStop(state, route, ownDeadlineAt, at, legs[0]?.service);

const refusalReasonOf = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): UnansweredReason => {
  if (request.crashes > 0 || request.isStopped) {
    return 'replicas-crashed';
  }
  if (request.legs.some((leg) => leg.isDropped)) {
    return 'no-room';
  }
  if (request.legs.some((leg) => leg.refusedAsFull)) {
    return 'replicas-full';
  }
  if (isStopTooNear(state, request, at)) {
    return 'stopping';
  }
  return request.legs.every((leg) => leg.attemptedReplicas.size === 0)
    ? 'no-replica'
    : 'too-few-shards';
};

const progressSingle = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const [leg] = request.legs;
  if (leg === undefined) {
    return giveUpRequest(state, request, 'no-replica', at);
  }
  if (leg.outcome?.type === 'answered') {
    return finishRequest(state, request, { type: 'pass-through', answer: leg.outcome.answer }, at);
  }
  if (leg.outcome?.type === 'unanswered') {
    return leg.failure === undefined
      ? giveUpRequest(state, request, refusalReasonOfLeg(state, request, leg, at), at)
      : finishRequest(state, request, { type: 'pass-through', answer: leg.failure }, at);
  }
  return waitOrHedge(state, request, at, request.objectiveAt);
};

const refusalReasonOfLeg = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  at: number,
): UnansweredReason => {
  if (request.crashes > 0 || request.isStopped) {
    return 'replicas-crashed';
  }
  if (leg.runs > 0 || leg.mayHaveRun) {
    return 'answer-lost';
  }
  if (leg.refusedAsFull) {
    return 'replicas-full';
  }
  return isStopTooNear(state, request, at) ? 'stopping' : 'no-replica';
};

/** Resumes legs whose pause is over; they may use all replicas again. */
const resumeLegs = (state: GatewayState, request: ActiveRequest, at: number): GatewayEffect[] =>
  request.legs.flatMap((leg) => {
    if (leg.resumeAt === undefined || leg.resumeAt > at) {
      return [];
    }
    leg.resumeAt = undefined;
    leg.attemptedReplicas.clear();
    return retryLeg(state, request, leg, 'retry', at);
  });

/** Whether the process ends before the deadline that the request would have otherwise. */
const isCutShort = ({ deadlineAt, ownDeadlineAt }: ActiveRequest): boolean =>
  deadlineAt < ownDeadlineAt;

const waitOrHedge = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
  answerAt: number,
): GatewayEffect[] => {
  if (at >= request.deadlineAt) {
    return giveUpRequest(state, request, isCutShort(request) ? 'stopping' : 'deadline', at);
  }
  const moved = checkSubqueries(state, request, at);
  const resumed = resumeLegs(state, request, at);
  const hedges = !request.hedged && at >= request.hedgeAt ? hedgeLegs(state, request, at) : [];
  return [
    ...moved,
    ...resumed,
    ...hedges,
    ...setTimer(request, nextDue(state, request, at, answerAt)),
  ];
};

const setTimer = (request: ActiveRequest, dueAt: number): GatewayEffect[] => {
  if (request.timerAt === dueAt) {
    return [];
  }
  request.timerAt = dueAt;
  return [{ type: 'set-request-timer', call: request.call, at: dueAt }];
};

const nextDue = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
  answerAt: number,
): number => {
  const isHeld = request.legs.some((leg) => leg.isHeld);
  const heldTime = isHeld ? heldUntil(state, request, at) : request.deadlineAt;
  const { hedged, hedgeAt, deadlineAt } = request;
  const resumeTimes = request.legs.map((leg) => leg.resumeAt ?? deadlineAt);
  const hedgeTime = hedged ? deadlineAt : hedgeAt;
  const answerTime = at < answerAt ? answerAt : deadlineAt;
  const acknowledgeTimes = [...request.subqueries.values()].map(
    ({ acknowledgeBy }) => acknowledgeBy ?? deadlineAt,
  );
  const acknowledgeTime = request.acknowledgeAt ?? deadlineAt;
  const times = [
    heldTime,
    hedgeTime,
    answerTime,
    acknowledgeTime,
    ...resumeTimes,
    ...acknowledgeTimes,
  ];
  return Math.min(deadlineAt, ...times);
};

/** Acknowledges a subquery, once, when its answer takes longer. */
const acknowledgeIfDue = (request: ActiveRequest, at: number): GatewayEffect[] => {
  if (request.acknowledgeAt === undefined || at < request.acknowledgeAt) {
    return [];
  }
  request.acknowledgeAt = undefined;
  return [{ type: 'acknowledge-subquery', call: request.call }];
};

/**
 * Progresses a subquery of another gateway. From the objective on, parts are sent as they arrive; before, once if all others
 * are stalled. Shards that this feeder sent to no replica or dropped are reported at once.
 */
const progressSubquery = (
  state: GatewayState,
  request: ActiveRequest,
  target: GatherTarget,
  at: number,
): GatewayEffect[] => {
  if (request.openLegs === 0 || at >= request.deadlineAt) {
    return finishSubquery(state, request, target.maxRecords, at);
  }
  const isDue = at >= request.objectiveAt || hasUrgentReport(request);
  const acknowledged = acknowledgeIfDue(request, at);
  const waited = waitOrHedge(state, request, at, request.objectiveAt);
  const isSent = isDue || shouldSendEarly(state, request, at);
  const parts = isSent ? reportParts(state, request, target.maxRecords, at) : [];
  return [...acknowledged, ...parts, ...waited];
};

const progressByTarget = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const { target } = request.route;
  if (target.type !== 'gather') {
    return progressSingle(state, request, at);
  }
  return request.origin === 'coordinator'
    ? progressSubquery(state, request, target, at)
    : progressGather(state, request, target, at);
};

/** Releases held legs, then ends the request if that is due; otherwise hedges slow legs and sets the timer. */
export const progressRequest = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] => {
  const released = releaseLegs(state, request, at);
  return [...released, ...progressByTarget(state, request, at)];
};
