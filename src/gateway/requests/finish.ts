/** Ends requests: with a replica's answer, a merged one, or the gateway's own. */
import type { GatewayEffect } from '../effect.js';
import type { CallerResponse, CallId, RefusalReason } from '../model/request.js';
import type { GatewayState } from '../state.js';
import { abortAttempts } from './attempts.js';
import { mergeRecords } from './merge-records.js';
import type { ActiveRequest } from './request-state.js';

/** Time that attempts which are no longer wanted have to end by themselves, in milliseconds. */
const LINGER_MS = 400;

/** When a caller whose request has not run should come back, in milliseconds. */
const RETRY_AFTER_MS = 50;

/** Answers a call that has no request in progress, or whose request ends now. */
export const answerCall = (
  state: GatewayState,
  call: CallId,
  response: CallerResponse,
): GatewayEffect => ({
  type: 'answer-caller',
  call,
  response,
  closeConnection: state.phase === 'stopping',
});

/** Ends a request with `response`. */
export const finishRequest = (
  state: GatewayState,
  request: ActiveRequest,
  response: CallerResponse,
): GatewayEffect[] => {
  state.requests.delete(request.call);
  return [answerCall(state, request.call, response), ...abortAttempts(request, LINGER_MS)];
};

/** Refuses a call before anything was sent to a replica. */
export const refuseCall = (
  state: GatewayState,
  call: CallId,
  reason: RefusalReason,
  comeBack: boolean,
): GatewayEffect => {
  const retry = comeBack ? { retryAfterMs: RETRY_AFTER_MS } : {};
  return answerCall(state, call, { type: 'refusal', reason, mayHaveRun: false, ...retry });
};

const mayHaveRun = (request: ActiveRequest): boolean => request.legs.some((leg) => leg.runs > 0);

/** Gives a request up: the caller is told at once, and when to come back if it has not run. */
export const giveUp = (
  state: GatewayState,
  request: ActiveRequest,
  reason: RefusalReason,
): GatewayEffect[] => {
  const ran = mayHaveRun(request);
  const retry = ran ? {} : { retryAfterMs: RETRY_AFTER_MS };
  return finishRequest(state, request, { type: 'refusal', reason, mayHaveRun: ran, ...retry });
};

/** The merged answer of the legs that are in. */
export const finishGather = (
  state: GatewayState,
  request: ActiveRequest,
  maxRecords: number,
): GatewayEffect[] => {
  const answers = request.legs.flatMap(({ outcome }) =>
    outcome?.type === 'answered' ? [outcome.answer] : [],
  );
  const signatures = answers.flatMap(({ signature }) =>
    signature === undefined ? [] : [signature],
  );
  return finishRequest(state, request, {
    type: 'merged',
    signatures,
    missingShards: request.legs.length - answers.length,
    body: mergeRecords(
      answers.map(({ body }) => body),
      maxRecords,
    ),
  });
};
