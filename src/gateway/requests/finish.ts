/** Ends requests with a replica's answer, a merged answer or a refusal by the gateway. */
import { nextTrialAt } from '../crashes/crash-history.js';
import { publishBeforeAnswer } from '../crashes/publish-crashes.js';
import { requiredTiming } from '../authorization/key-admission.js';
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import type { Decision, LimitRefusal, StopInputs } from '../log/log-event.js';
import { recordDecision, writeTrace } from '../log/trace.js';
import type { Handover } from '../model/answer-timing.js';
import type { CallerResponse, CallId, MergedAnswer, RefusalReason } from '../model/request.js';
import type { Route } from '../model/route.js';
import { returnToken } from '../quotas/take-token.js';
import type { GatewayState } from '../state.js';
import { describeTimeLeft } from '../stop/time-left.js';
import { FIRST_FAILURE_STATUS } from './usable-answer.js';
import { giveUpAttempts, LINGER_MS } from './give-up-attempts.js';
import { mergeRecords } from './merge-records.js';
import { recordInconclusive } from './inconclusive-attempts.js';
import { type ActiveRequest, isAnswered, type Leg } from './request-state.js';
import { retryAfter } from './retry-after.js';

type AnswerDecision = Extract<Decision, { event: 'request-answered' }>;

/** Time past the objective after which an answer is logged as late, in milliseconds. */
const LATE_MS = 8;

/**
 * Answers a call that has no request in progress, or whose request ends now. The connection is closed when the gateway is
 * stopping or has not read the whole request.
 */
export const answerCall = (
  state: GatewayState,
  call: CallId,
  response: CallerResponse,
  isFullyRead = true,
  handover?: Handover,
): GatewayEffect => ({
  type: 'answer-caller',
  call,
  response,
  closeConnection: state.phase === 'stopping' || !isFullyRead,
  ...(handover !== undefined && { handover }),
});

const missingShards = ({ legs }: ActiveRequest): readonly string[] =>
  legs.filter((leg) => !isAnswered(leg)).map(({ service }) => service);

/** Inputs of a refusal if its reason is that the process stops. */
const describeStopRefusal = (
  state: GatewayState,
  reason: RefusalReason,
  route: Route | undefined,
  at: number,
): { readonly stop?: StopInputs } => {
  const isStopping = reason === 'stopping' && route !== undefined;
  const stop = isStopping ? describeTimeLeft(state, route, at) : undefined;
  return stop === undefined ? {} : { stop };
};

const describeAnswer = (
  state: GatewayState,
  request: ActiveRequest,
  response: CallerResponse,
  at: number,
): AnswerDecision => {
  const { objectiveMs } = request.route;
  const elapsedMs = Math.round(at - request.receivedAt);
  const missing = missingShards(request);
  const common = { event: 'request-answered', missing, objectiveMs, elapsedMs } as const;
  switch (response.type) {
    case 'merged':
      return {
        ...common,
        outcome: missing.length === 0 ? 'whole' : 'partial',
        ...(request.answerInputs !== undefined && { timing: request.answerInputs }),
      };
    case 'pass-through':
      return { ...common, outcome: 'passed-on', status: response.answer.status };
    case 'refusal': {
      const { reason, mayHaveRun } = response;
      const stop = describeStopRefusal(state, reason, request.route, at);
      return { ...common, outcome: 'refused', reason, mayHaveRun, ...stop };
    }
  }
};

const isSuccessful = ({ outcome, status }: AnswerDecision): boolean =>
  outcome === 'whole' || (outcome === 'passed-on' && (status ?? 0) < FIRST_FAILURE_STATUS);

const MS_PER_SECOND = 1_000;

const countAnswer = (
  { counters }: GatewayState,
  { route }: ActiveRequest,
  { outcome, reason, elapsedMs }: AnswerDecision,
): void => {
  counters.requests.add(route.name, reason ?? outcome);
  counters.requestDuration.observe(elapsedMs / MS_PER_SECOND, route.name);
};

/** Only the handover of gathers is measured, since only these are answered at a margin before their objective. */
const handoverOf = (
  { route }: ActiveRequest,
  { type }: CallerResponse,
  at: number,
): Handover | undefined => (type === 'merged' ? { route: route.name, decidedAt: at } : undefined);

/** Ends a request with `response`. */
export const finishRequest = (
  state: GatewayState,
  request: ActiveRequest,
  response: CallerResponse,
  at: number,
): GatewayEffect[] => {
  state.requests.delete(request.call);
  const decision = describeAnswer(state, request, response, at);
  recordDecision(request.decisions, at, decision);
  countAnswer(state, request, decision);
  const failed = !isSuccessful(decision) || at > request.objectiveAt + LATE_MS;
  return [
    ...recordInconclusive(state, request, at),
    answerCall(state, request.call, response, true, handoverOf(request, response, at)),
    ...giveUpAttempts(state, request, LINGER_MS, at),
    ...writeTrace(request.request.requestId, request.decisions, failed),
  ];
};

const describeVersion = ({ inForce }: GatewayState, at: number) => ({
  version: inForce?.configuration.version ?? 0,
  versionAgeMs: Math.round(at - (inForce?.since ?? at)),
});

const describeNoRoute = (
  state: GatewayState,
  { host, path }: RequestReceived['request'],
  at: number,
): NonNullable<AnswerDecision['noRoute']> => ({ host, path, ...describeVersion(state, at) });

const describeRefusedKey = (
  state: GatewayState,
  { host, path, keyDigests = [] }: RequestReceived['request'],
  at: number,
): NonNullable<AnswerDecision['refusedKey']> => ({
  route: state.inForce?.table.find(host, path)?.name ?? '',
  keys: keyDigests.length,
  ...describeVersion(state, at),
});

const isKeyRefusal = (reason: RefusalReason): boolean =>
  reason === 'key-missing' || reason === 'key-unknown';

const describeBlock = (
  { crashes }: GatewayState,
  { fingerprint }: RequestReceived['request'],
  at: number,
): NonNullable<AnswerDecision['blocked']> => {
  const known = crashes.histories.find(fingerprint, at);
  const forMs = Math.round(nextTrialAt(known) - at);
  return { fingerprint, rounds: known.rounds, level: known.level, forMs };
};

const describeUnconfirmed = (
  state: GatewayState,
  at: number,
): NonNullable<AnswerDecision['unconfirmed']> => {
  const { confirmedAt, source } = state.keyConfirmation;
  return {
    ...(source !== undefined && { ageMs: Math.round(at - confirmedAt), source }),
    limitMs: requiredTiming(state)?.limitMs ?? 0,
    version: state.inForce?.configuration.version ?? 0,
  };
};

/**
 * Refuses a call for which nothing was sent to a replica.
 *
 * @param retryAfterMs - delay before a retry by the caller, in milliseconds; undefined when a retry would not help
 * @param at - the current time when the call was held; by default the time of its arrival
 * @param limit - inputs of the decision, if the reason is a tenant's limit
 */
export const refuseCall = (
  state: GatewayState,
  { call, request, at: receivedAt }: RequestReceived,
  reason: RefusalReason,
  retryAfterMs: number | undefined,
  at = receivedAt,
  limit?: LimitRefusal,
): GatewayEffect[] => {
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  const response = { type: 'refusal', reason, mayHaveRun: false, ...retry } as const;
  const decision: Decision = {
    event: 'request-answered',
    outcome: 'refused',
    reason,
    mayHaveRun: false,
    ...(reason === 'no-route' && { noRoute: describeNoRoute(state, request, at) }),
    ...(isKeyRefusal(reason) && { refusedKey: describeRefusedKey(state, request, at) }),
    ...(reason === 'crashes-replicas' && { blocked: describeBlock(state, request, at) }),
    ...(reason === 'keys-unconfirmed' && { unconfirmed: describeUnconfirmed(state, at) }),
    ...describeStopRefusal(
      state,
      reason,
      state.inForce?.table.find(request.host, request.path),
      at,
    ),
    ...(limit !== undefined && { limit }),
    missing: [],
    objectiveMs: 0,
    elapsedMs: Math.round(at - receivedAt),
  };
  state.counters.requests.add('', reason);
  return [
    answerCall(state, call, response, request.excess === undefined),
    ...writeTrace(request.requestId, [{ at, decision }], true),
  ];
};

const mayHaveRun = ({ legs, subqueries }: ActiveRequest): boolean =>
  subqueries.size > 0 ||
  legs.some((leg) => leg.runs > 0 || leg.mayHaveRun || leg.outcome?.type === 'fed');

/**
 * Gives a request up. The refusal contains a retry delay if the request has not run. Evidence that the request crashes
 * replicas is published before the answer, since the caller may send its retry to another gateway.
 */
export const giveUpRequest = (
  state: GatewayState,
  request: ActiveRequest,
  reason: RefusalReason,
  at: number,
): GatewayEffect[] => {
  const ran = mayHaveRun(request);
  if (!ran) {
    returnToken(state, request, at);
  }
  const retry = ran ? {} : { retryAfterMs: retryAfter(state, request, reason, at) };
  const response = { type: 'refusal', reason, mayHaveRun: ran, ...retry } as const;
  const updates = publishBeforeAnswer(state, request.request.fingerprint, at);
  return [...updates, ...finishRequest(state, request, response, at)];
};

/** The signature of an answered leg; none while its part is missing. */
const signatureOf = ({ outcome }: Leg): readonly string[] => {
  if (outcome?.type === 'fed') {
    return [outcome.signature];
  }
  const signature = outcome?.type === 'answered' ? outcome.answer.signature : undefined;
  return signature === undefined ? [] : [signature];
};

/** Ends a gather with the merged records of the answered legs. */
export const finishGather = (
  state: GatewayState,
  request: ActiveRequest,
  maxRecords: number,
  at: number,
): GatewayEffect[] => {
  const signatures = request.legs.flatMap(signatureOf);
  const bodies = request.legs.flatMap(({ outcome }) =>
    outcome?.type === 'answered' ? [outcome.answer.body] : [],
  );
  const merged: MergedAnswer = {
    type: 'merged',
    signatures,
    missingShards: request.legs.length - signatures.length,
    body: mergeRecords([...bodies, ...request.fedRecords], maxRecords),
  };
  return finishRequest(state, request, merged, at);
};
