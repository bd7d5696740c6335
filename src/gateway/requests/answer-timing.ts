/**
 * Decides when a gather is answered with the parts that it has. Before the objective each further part adds value and
 * waiting costs nothing; close to it, waiting may make the answer late, when it is of little use.
 */
import type { AnswerInputs } from '../model/answer-timing.js';
import type { GatewayState } from '../state.js';
import { answerDueFor, hasEnoughSamples, lateShareNow, lateShareOfTimer } from './answer-delays.js';
import {
  addArrived,
  addMissing,
  arrivalProbability,
  createPartArrivals,
  hasEnoughParts,
  type PartArrivals,
} from './part-arrivals.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** Value that a late answer loses, as a share of the value of the same answer in time. */
const LATE_LOSS = 0.9;

/** Shares of the measured delays that the times considered for an answer allow for, earliest time first. */
const CONSIDERED_LEVELS = [0.995, 0.98, 0.95, 0.9];

/** When a gather is answered if no further part arrives, and the inputs of that decision. */
export interface AnswerDecision {
  readonly answerAt: number;
  readonly inputs: AnswerInputs;
}

/** The time considered for an answer with its expected value, relative to that of all parts in time. */
interface Option {
  readonly answerAt: number;
  readonly expectedParts: number;
  readonly lateShare: number;
  readonly value: number;
}

/** Ages of the parts of the request's route; created when there are none or the objective has changed. */
const arrivalsOf = ({ partArrivals }: GatewayState, { route }: ActiveRequest): PartArrivals => {
  const known = partArrivals.get(route.name);
  if (known?.objectiveMs === route.objectiveMs) {
    return known;
  }
  const created = createPartArrivals(route.objectiveMs);
  partArrivals.set(route.name, created);
  return created;
};

/** Records parts that arrived for a gather of a caller. */
export const recordArrived = (
  state: GatewayState,
  request: ActiveRequest,
  parts: number,
  ageMs: number,
): void => {
  if (request.origin === 'caller' && request.route.target.type === 'gather' && parts > 0) {
    addArrived(arrivalsOf(state, request), ageMs, parts);
  }
};

/**
 * Times at which the leg's part was requested and can still arrive. A paused leg is requested when its pause ends, a waiting
 * one when it is expected to start.
 */
const requestTimes = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  at: number,
): readonly number[] => {
  if (leg.subquery !== undefined) {
    const sentAt = request.subqueries.get(leg.subquery)?.sentAt;
    return sentAt === undefined ? [] : [sentAt];
  }
  if (leg.resumeAt !== undefined) {
    return [leg.resumeAt];
  }
  if (leg.waiting !== undefined) {
    const queue = state.scheduling.queues.get(leg.service);
    return [at + (queue?.expectedWait(request.rank, at) ?? 0)];
  }
  return [...leg.running].flatMap((id) => state.attempts.get(id)?.sentAt ?? []);
};

/** Records the parts that are missing when a gather is answered. */
export const recordMissing = (state: GatewayState, request: ActiveRequest, at: number): void => {
  for (const leg of request.legs) {
    const [sentAt] = leg.outcome === undefined ? requestTimes(state, request, leg, at) : [];
    if (sentAt !== undefined && sentAt < at) {
      addMissing(arrivalsOf(state, request), at - sentAt);
    }
  }
};

const isOpen = ({ outcome }: Leg): boolean => outcome === undefined;

/** Whether a part may still arrive before the answer is due. Held legs and broken attempts may be sent at any time. */
const mayArrive = (leg: Leg, dueAt: number): boolean =>
  leg.subquery !== undefined ||
  leg.running.size > 0 ||
  leg.isHeld ||
  leg.waiting !== undefined ||
  (leg.resumeAt !== undefined && leg.resumeAt < dueAt);

/** Probability that the part of a leg arrives until `until`. */
const legProbability = (
  arrivals: PartArrivals,
  requestedAt: readonly number[],
  at: number,
  until: number,
): number =>
  1 -
  requestedAt.reduce(
    (missing, sentAt) => missing * (1 - arrivalProbability(arrivals, at - sentAt, until - sentAt)),
    1,
  );

/** Expected square of the number of parts at a later time, and the number of parts that are expected until then. */
const expectParts = (
  arrived: number,
  probabilities: readonly number[],
): { readonly square: number; readonly parts: number } => {
  const parts = probabilities.reduce((sum, probability) => sum + probability, 0);
  const variance = probabilities.reduce((sum, each) => sum + each * (1 - each), 0);
  return { square: (arrived + parts) ** 2 + variance, parts };
};

const valueOf = (square: number, legs: number, lateShare: number): number =>
  (square / legs ** 2) * (1 - LATE_LOSS * lateShare);

/** The times after `at` that are considered, with their expected values. */
const laterOptions = (state: GatewayState, request: ActiveRequest, at: number): Option[] => {
  const { answeredLegs, legs, deadlineAt } = request;
  const arrivals = arrivalsOf(state, request);
  const requested = legs.filter(isOpen).map((leg) => requestTimes(state, request, leg, at));
  return CONSIDERED_LEVELS.map((level) =>
    Math.min(deadlineAt, answerDueFor(state.answerDelays, request, level)),
  )
    .filter((answerAt) => answerAt > at)
    .map((answerAt) => {
      const probabilities = requested.map((each) => legProbability(arrivals, each, at, answerAt));
      const { square, parts } = expectParts(answeredLegs, probabilities);
      const lateShare = lateShareOfTimer(state.answerDelays, request, answerAt);
      const value = valueOf(square, legs.length, lateShare);
      return { answerAt, expectedParts: parts, lateShare, value };
    });
};

const SHARE_DIGITS = 1_000;

const rounded = (share: number): number => Math.round(share * SHARE_DIGITS) / SHARE_DIGITS;

/** Weighs an answer now against waiting for further parts. */
const weighOptions = (
  state: GatewayState,
  request: ActiveRequest,
  inputs: AnswerInputs,
  at: number,
): AnswerDecision => {
  const lateNow = lateShareNow(state.answerDelays, request, at);
  const valueNow = valueOf(request.answeredLegs ** 2, request.legs.length, lateNow);
  const options = laterOptions(state, request, at);
  const [next] = options;
  if (next === undefined) {
    return { answerAt: at, inputs: { ...inputs, lateShare: rounded(lateNow) } };
  }
  const best = options.reduce((left, right) => (right.value > left.value ? right : left));
  return {
    answerAt: best.value > valueNow ? best.answerAt : at,
    inputs: {
      ...inputs,
      expectedParts: rounded(best.expectedParts),
      lateShare: rounded(lateNow),
      lateShareThen: rounded(best.lateShare),
    },
  };
};

/**
 * Decides when a gather that has the required coverage is answered if no further part arrives. A caller whose deadline is
 * before the objective gets the parts received by then rather than a refusal.
 */
export const decideAnswer = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): AnswerDecision => {
  const { receivedAt, objectiveAt, deadlineAt, route, legs } = request;
  const dueAt = Math.min(objectiveAt, deadlineAt);
  const isMeasured = hasEnoughSamples(state.answerDelays);
  const marginMs = Math.round(receivedAt + route.objectiveMs - objectiveAt);
  const inputs = { marginMs, isMeasured };
  const isAwaited = legs.some((leg) => isOpen(leg) && mayArrive(leg, dueAt));
  if (!isAwaited && request.uncheckedBreaks === 0) {
    return { answerAt: at, inputs };
  }
  if (!isMeasured || !hasEnoughParts(arrivalsOf(state, request))) {
    return { answerAt: dueAt, inputs };
  }
  const [earliestLevel = 1] = CONSIDERED_LEVELS;
  const earliest = answerDueFor(state.answerDelays, request, earliestLevel);
  return at < Math.min(earliest, deadlineAt)
    ? { answerAt: Math.min(earliest, deadlineAt), inputs }
    : weighOptions(state, request, inputs, at);
};
