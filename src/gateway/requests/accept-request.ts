/** Takes a caller's request: finds its route and sends the first attempts. */
import { beginTrial, unblockedAt } from '../crashes/crash-record.js';
import { updateKnowledge } from '../crashes/update-knowledge.js';
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import { trace } from '../log/trace.js';
import type { CallerRequest, Fingerprint, RefusalReason } from '../model/request.js';
import type { Route } from '../model/route.js';
import { SplitCursor, isSameSplit } from '../routing/split-cursor.js';
import { isReturnRecent } from '../returns/return-state.js';
import { type GatewayState, canServe } from '../state.js';
import { refuseCall } from './finish.js';
import { pausedUntil } from './guard.js';
import { holdRequest } from './hold-request.js';
import { retryAfterUnread } from './retry-after.js';
import { sendLegs } from './send-legs.js';
import { type ActiveRequest, createActiveRequest, createLeg, type Leg } from './request-state.js';
import { createRouteLatency, hedgeDelay } from './route-latency.js';
import { progressRequest } from './progress.js';

/** Time kept back of the objective for the way to the caller and waits for the processor. */
const OBJECTIVE_MARGIN_MS = 13;

/** A caller that opened a connection for the request has waited a round trip longer, in milliseconds. */
const CONNECT_MARGIN_MS = 7;

/** The margin takes no more than this part of an objective. */
const MAX_MARGIN_SHARE = 0.3;

/** Time kept back of the caller's patience for the way back, in milliseconds. */
const DEADLINE_MARGIN_MS = 10;

/** Reasons by which too large requests are refused. */
const EXCESS_REASONS = { headers: 'headers-too-large', body: 'body-too-large' } as const;

const legsOf = (state: GatewayState, route: Route): readonly Leg[] => {
  const { target } = route;
  switch (target.type) {
    case 'service':
      return [createLeg(target.service)];
    case 'gather':
      return target.shards.map(createLeg);
    case 'split': {
      const known = state.splits.get(route.name);
      const isKnown = known !== undefined && isSameSplit(known.parts, target.parts);
      const cursor = isKnown ? known : new SplitCursor(target.parts, state.random.next());
      state.splits.set(route.name, cursor);
      const service = cursor.next();
      return service === undefined ? [] : [createLeg(service)];
    }
  }
};

const createRequest = (
  state: GatewayState,
  route: Route,
  { call, request, at: receivedAt }: RequestReceived,
  at: number,
): ActiveRequest => {
  const legs = legsOf(state, route);
  const patienceMs = (request.budgetMs ?? route.timeoutMs) - DEADLINE_MARGIN_MS;
  const connectMs = request.isFirstOnConnection === true ? CONNECT_MARGIN_MS : 0;
  const wantedMargin = OBJECTIVE_MARGIN_MS + connectMs;
  const margin = Math.min(wantedMargin, route.objectiveMs * MAX_MARGIN_SHARE);
  const latency = state.latencies.get(route.name) ?? createRouteLatency(route);
  return createActiveRequest({
    call,
    origin: 'caller',
    request,
    route,
    legs,
    receivedAt,
    deadlineAt: receivedAt + Math.max(1, Math.min(route.timeoutMs, patienceMs)),
    objectiveAt: receivedAt + route.objectiveMs - margin,
    hedgeAt: at + hedgeDelay(latency, route),
    acknowledgeAt: undefined,
  });
};

const traceAdmission = (state: GatewayState, request: ActiveRequest, at: number): void =>
  trace(request.decisions, at, {
    event: 'request-admitted',
    route: request.route.name,
    fingerprint: request.request.fingerprint,
    version: state.inForce?.configuration.version ?? 0,
    versionAgeMs: Math.round(at - (state.inForce?.since ?? at)),
    ...(isReturnRecent(state.returns, at) && {
      storeReturnedMsAgo: Math.round(at - state.returns.eraSince),
    }),
    legs: request.legs.length,
    budgetMs: Math.round(request.deadlineAt - at),
    hedgeInMs: Math.round(request.hedgeAt - at),
  });

const startRequest = (state: GatewayState, request: ActiveRequest, at: number): GatewayEffect[] => {
  state.requests.set(request.call, request);
  traceAdmission(state, request, at);
  const sent = sendLegs(state, request, request.legs, false, at);
  return [...sent, ...progressRequest(state, request, at)];
};

/** Replicas end under the request: its caller is told at once when it will be tried again. */
const refuseBlocked = (
  state: GatewayState,
  event: RequestReceived,
  at: number,
): GatewayEffect[] => {
  const known = state.crashes.memory.find(event.request.fingerprint, at);
  const retryAfterMs = Math.ceil(unblockedAt(known) - at);
  return refuseCall(state, event, 'crashes-replicas', retryAfterMs, at);
};

/** A blocked request is tried here; the other gateways go on refusing it until the outcome is known. */
const claimTrial = (state: GatewayState, fingerprint: Fingerprint, at: number): GatewayEffect[] => {
  const known = beginTrial(state.crashes.memory.find(fingerprint, at), at);
  const origin = { from: state.settings.node, isUrgent: true };
  return updateKnowledge(state, fingerprint, known, origin, at);
};

/** Finds the route of a request and sends it, at a time that may be later than its arrival. */
const routeRequest = (state: GatewayState, event: RequestReceived, at: number): GatewayEffect[] => {
  const { request } = event;
  const route = state.inForce?.table.find(request.host, request.path);
  if (route === undefined) {
    return refuseCall(state, event, 'no-route', undefined);
  }
  const { fingerprint } = request;
  const verdict = state.crashes.memory.verdict(fingerprint, at);
  if (verdict === 'blocked') {
    return refuseBlocked(state, event, at);
  }
  const created = createRequest(state, route, event, at);
  const untilAt = pausedUntil(state, created);
  if (verdict === 'suspected' && untilAt >= created.deadlineAt) {
    return refuseCall(state, event, 'replicas-crashed', Math.ceil(untilAt - at), at);
  }
  created.isTrial = verdict === 'trial-due';
  const claimed = created.isTrial ? claimTrial(state, fingerprint, at) : [];
  return [...claimed, ...startRequest(state, created, at)];
};

/** Why a request is refused whatever its route; undefined where nothing is wrong with it. */
const problemOf = (
  { inForce }: GatewayState,
  { requestId, host, excess }: CallerRequest,
): RefusalReason | undefined => {
  if (requestId === '') {
    return 'no-request-id';
  }
  if (host === '') {
    return 'no-host';
  }
  if (excess === undefined) {
    return undefined;
  }
  // The first configuration may allow more than what is taken before it: nothing is refused for good yet.
  return inForce === undefined ? 'no-configuration' : EXCESS_REASONS[excess];
};

/** Handles `request-received`. */
export const acceptRequest = (state: GatewayState, event: RequestReceived): GatewayEffect[] => {
  const problem = problemOf(state, event.request);
  if (problem !== undefined) {
    const isUnread = problem === 'no-configuration';
    return refuseCall(state, event, problem, isUnread ? retryAfterUnread(state) : undefined);
  }
  return canServe(state) ? routeRequest(state, event, event.at) : holdRequest(state, event);
};

/** Sends the requests that were held for the first configuration, once it is in force. */
export const acceptHeldRequests = (state: GatewayState, at: number): GatewayEffect[] => {
  if (!canServe(state) || state.held.size === 0) {
    return [];
  }
  const events = [...state.held.values()];
  state.held.clear();
  return events.flatMap((event) => routeRequest(state, event, at));
};
