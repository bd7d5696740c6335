/**
 * Stops a gateway as planned: requests in progress are finished as far as the grace period allows, and every request is
 * answered before the process ends.
 */
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived, StopDue, StopRequested } from '../event.js';
import { updateReadiness } from '../readiness.js';
import type { StateChange } from '../log/log-event.js';
import type { Refusal } from '../model/request.js';
import { waitingForTokens } from '../quotas/take-token.js';
import { refuseCall } from '../requests/finish.js';
import { progressRequest } from '../requests/progress.js';
import type { ActiveRequest } from '../requests/request-state.js';
import { retryAfterStopping } from '../requests/retry-after.js';
import type { GatewayState } from '../state.js';
import { scheduleStop, type StopSchedule } from './stop-schedule.js';
import { canAnswerWaiting, deadlineBeforeStop } from './time-left.js';

/**
 * Time after the request to stop in which connections of callers are still accepted, in milliseconds: the load balancer
 * checks readiness every second and removes a gateway after two failed checks.
 */
const ACCEPT_WHILE_STOPPING_MS = 3_200;

/** Interval of the checks whether all requests are finished during a stop, in milliseconds. */
const STOP_CHECK_INTERVAL_MS = 100;

/** Number of requests that have not been answered. */
const requestsInProgress = (state: GatewayState): number =>
  state.requests.size + state.held.size + waitingForTokens(state);

/** Handles `stop-requested`. */
export const handleStopRequested = (
  state: GatewayState,
  { at, signalledMsAgo }: StopRequested,
): GatewayEffect[] => {
  if (state.phase === 'stopping' || state.phase === 'ended') {
    return [];
  }
  state.phase = 'stopping';
  const stop = scheduleStop(at - signalledMsAgo, state.settings.bounds.graceMs);
  state.stop = stop;
  for (const request of state.requests.values()) {
    request.deadlineAt = deadlineBeforeStop(state, request.deadlineAt);
  }
  const change: StateChange = {
    event: 'stopping',
    requests: requestsInProgress(state),
    signalledMsAgo: Math.round(signalledMsAgo),
    answersDueInMs: Math.round(stop.answersDueAt - at),
    endInMs: Math.round(stop.endAt - at),
  };
  return [
    { type: 'write-log', level: 'info', part: 'lifecycle', change },
    ...updateReadiness(state),
    { type: 'announce-stop' },
    { type: 'set-stop-timer', at: at + STOP_CHECK_INTERVAL_MS },
  ];
};

/** Cancels the attempts that wait for a connection and cannot be answered before the process ends: they have not run. */
const recallAttempts = (state: GatewayState, at: number): GatewayEffect[] => {
  const isTooLate = ({ route, ownDeadlineAt }: ActiveRequest): boolean =>
    !canAnswerWaiting(state, route, ownDeadlineAt, at);
  return [...state.attempts.values()]
    .filter(({ owner }) => isTooLate(owner))
    .map(({ id }) => ({ type: 'recall-attempt', attempt: id }));
};

const takeHeldCalls = ({ held, quotas }: GatewayState): readonly RequestReceived[] => {
  const events = [...held.values(), ...[...quotas.waiting.values()].map(({ event }) => event)];
  held.clear();
  quotas.waiting.clear();
  return events;
};

const refusalOfIncomplete = (state: GatewayState): Refusal => ({
  type: 'refusal',
  reason: 'stopping',
  mayHaveRun: false,
  retryAfterMs: retryAfterStopping(state),
});

/** Answers every request: with what has arrived, or with a refusal. */
const answerAll = (state: GatewayState, at: number): GatewayEffect[] => [
  ...[...state.requests.values()].flatMap((request) => progressRequest(state, request, at)),
  ...takeHeldCalls(state).flatMap((event) =>
    refuseCall(state, event, 'stopping', retryAfterStopping(state), at),
  ),
  { type: 'refuse-incomplete', refusal: refusalOfIncomplete(state) },
];

const endProcess = (
  state: GatewayState,
  { since }: StopSchedule,
  { at, openExchanges }: StopDue,
): GatewayEffect[] => {
  state.phase = 'ended';
  const change: StateChange = {
    event: 'ended',
    requests: requestsInProgress(state),
    openExchanges,
    stopMs: Math.round(at - since),
  };
  return [{ type: 'write-log', level: 'info', part: 'lifecycle', change }, { type: 'end-process' }];
};

/**
 * Handles `stop-due`: closes the callers' port, and ends the process at a later check at which nothing is in progress. Requests
 * still in progress shortly before the end of the grace period are answered, and the process ends at a later check, when their
 * answers have been sent or the time is over.
 */
export const handleStopDue = (state: GatewayState, due: StopDue): GatewayEffect[] => {
  const { stop } = state;
  if (stop === undefined || state.phase !== 'stopping') {
    return [];
  }
  const { at, openExchanges } = due;
  const inProgress = requestsInProgress(state);
  const isIdle = state.isCallerPortClosed && inProgress === 0 && openExchanges === 0;
  const isTimeOver = at >= stop.endAt && inProgress === 0;
  if (isIdle || isTimeOver) {
    return endProcess(state, stop, due);
  }
  state.isCallerPortClosed ||= at - stop.since >= ACCEPT_WHILE_STOPPING_MS;
  const close: GatewayEffect[] = state.isCallerPortClosed ? [{ type: 'close-caller-port' }] : [];
  const answers = at >= stop.answersDueAt ? answerAll(state, at) : recallAttempts(state, at);
  const nextAt = Math.max(at, Math.min(at + STOP_CHECK_INTERVAL_MS, stop.endAt));
  return [...close, ...answers, { type: 'set-stop-timer', at: nextAt }];
};
