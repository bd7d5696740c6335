/**
 * Delays of this process that a gather must allow for before its objective, and the margin that follows from them. A
 * gateway answers about one request per second, so the delays are taken from timers of all requests and subqueries.
 */
import { createDelayEstimate, type DelayEstimate, recordDelay } from '../delay-estimate.js';
import type { Route } from '../model/route.js';
import type { ActiveRequest } from './request-state.js';
import {
  addDelay,
  createDelayHistogram,
  type DelayHistogram,
  delayQuantile,
  shareBeyond,
} from './delay-histogram.js';

/** Fixed margin before the objective until enough delays were measured, in milliseconds. */
const OBJECTIVE_MARGIN_MS = 13;

/** Addition to the fixed margin, in milliseconds: a caller that opened a connection waited one more round trip. */
const CONNECT_MARGIN_MS = 7;

/** Largest share of an objective that the margin may take. */
const MAX_MARGIN_SHARE = 0.3;

/** One-way network latency between callers and gateways, in milliseconds. */
const CALLER_ONE_WAY_MS = 3;

/** Shares of the samples whose delay the margin covers: when the answer is due, and when the request arrived. */
const MARGIN_LEVEL = 0.95;
const USUAL_LEVEL = 0.5;

/** Timers that are later than this, in milliseconds, show a pause of the process, which no margin can cover. */
const MAX_LATENESS_MS = 150;

/** Number of samples required before the measured delays are used. */
const MIN_SAMPLES = 50;

/**
 * Bounds of the part of the margin that covers this process, in milliseconds. The lower one covers the delays before a request
 * or a part is read, which timers do not show.
 */
const MIN_PROCESS_MS = 7;
const MAX_PROCESS_MS = 40;

/** Mean deviations above the mean that are allowed for the handover of an answer. */
const HANDOVER_DEVIATIONS = 2;

/** Measured delays of this process. */
export interface AnswerDelays {
  /** How late the timers of requests and subqueries were handled. */
  readonly lateness: DelayHistogram;
  /** Time from the event that decided on an answer until it was written to the caller's connection, by route. */
  readonly handovers: Map<string, DelayEstimate>;
}

/** Creates the delays of a process that has measured none. */
export const createAnswerDelays = (): AnswerDelays => ({
  lateness: createDelayHistogram(),
  handovers: new Map(),
});

/** Records when the timer of a request was handled. */
export const recordTimer = (
  { lateness }: AnswerDelays,
  dueAt: number | undefined,
  at: number,
): void => {
  if (dueAt !== undefined && at >= dueAt && at - dueAt <= MAX_LATENESS_MS) {
    addDelay(lateness, at - dueAt);
  }
};

/** Records how long the handover of an answer took, in milliseconds. */
export const recordHandover = (
  { handovers }: AnswerDelays,
  route: string,
  elapsedMs: number,
): void => {
  const known = handovers.get(route) ?? createDelayEstimate();
  handovers.set(route, known);
  recordDelay(known, elapsedMs);
};

/** Whether enough delays were measured to replace the fixed margin. */
export const hasEnoughSamples = ({ lateness }: AnswerDelays): boolean =>
  lateness.total >= MIN_SAMPLES;

/** Time that the handover of an answer of the route takes, in milliseconds; 0 before the first one. */
export const handoverMs = ({ handovers }: AnswerDelays, route: string): number => {
  const known = handovers.get(route);
  return known === undefined ? 0 : known.mean + HANDOVER_DEVIATIONS * known.deviation;
};

/**
 * Time that the network takes of the objective, in milliseconds. The caller's clock starts before its request arrives: one
 * way, and one round trip more when it first opened a connection; the answer takes one way back.
 */
export const callerPathMs = (isFirstOnConnection: boolean): number =>
  CALLER_ONE_WAY_MS * (isFirstOnConnection ? 4 : 2);

/**
 * Time reserved for the delays of this process, in milliseconds: the request was read late by the median delay, the timer
 * is handled late by a high quantile of the delays, and the answer is handed over. Undefined until enough were measured.
 */
export const processMarginMs = (
  delays: AnswerDelays,
  route: string,
  level = MARGIN_LEVEL,
): number | undefined => {
  if (!hasEnoughSamples(delays)) {
    return undefined;
  }
  const { lateness } = delays;
  const delay =
    delayQuantile(lateness, USUAL_LEVEL) +
    delayQuantile(lateness, level) +
    handoverMs(delays, route);
  return Math.min(MAX_PROCESS_MS, Math.max(MIN_PROCESS_MS, delay));
};

/** Time before the objective at which a gather is answered, in milliseconds since the request arrived. */
export const answerMarginMs = (
  delays: AnswerDelays,
  { name, objectiveMs }: Route,
  isFirstOnConnection: boolean,
): number => {
  const measured = processMarginMs(delays, name);
  const fixed = OBJECTIVE_MARGIN_MS + (isFirstOnConnection ? CONNECT_MARGIN_MS : 0);
  const margin = measured === undefined ? fixed : callerPathMs(isFirstOnConnection) + measured;
  return Math.min(margin, objectiveMs * MAX_MARGIN_SHARE);
};

/** What the times of an answer follow from. */
type TimedRequest = Pick<ActiveRequest, 'receivedAt' | 'request' | 'route'>;

/** When the answer must be written to reach the caller within the objective. */
const writtenBy = ({ receivedAt, request, route }: TimedRequest): number =>
  receivedAt + route.objectiveMs - callerPathMs(request.isFirstOnConnection === true);

/** When an answer is due that is to be in time for this share of the delays; the margin is bounded as always. */
export const answerDueFor = (
  delays: AnswerDelays,
  request: TimedRequest,
  level: number,
): number => {
  const { receivedAt, route } = request;
  const earliest = receivedAt + route.objectiveMs * (1 - MAX_MARGIN_SHARE);
  const delay = processMarginMs(delays, route.name, level) ?? 0;
  return Math.max(earliest, writtenBy(request) - delay);
};

/** Probability that an answer given now is late: the request may have been read late. */
export const lateShareNow = (delays: AnswerDelays, request: TimedRequest, at: number): number =>
  shareBeyond(delays.lateness, writtenBy(request) - at - handoverMs(delays, request.route.name));

/** Probability that an answer is late whose timer is due at `dueAt`. */
export const lateShareOfTimer = (
  delays: AnswerDelays,
  request: TimedRequest,
  dueAt: number,
): number => {
  const usual = delayQuantile(delays.lateness, USUAL_LEVEL);
  return lateShareNow(delays, request, dueAt + usual);
};
