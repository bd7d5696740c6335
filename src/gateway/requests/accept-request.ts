/** Admits callers' requests: finds the route of each and sends its first attempts. */
import { markTrialStarted, nextTrialAt } from '../crashes/crash-history.js';
import { updateHistory } from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import { recordDecision } from '../log/trace.js';
import type { CallerRequest, CallId, Fingerprint, RefusalReason } from '../model/request.js';
import type { Route } from '../model/route.js';
import type { Tenant } from '../model/tenant.js';
import { SplitCursor, isSameSplit } from '../routing/split-cursor.js';
import { isRestoreRecent } from '../returns/restore-state.js';
import { areKeysConfirmed } from '../authorization/key-admission.js';
import { returnToken, takeToken } from '../quotas/take-token.js';
import { classRank } from '../scheduling/class-rank.js';
import { describeLack, findLackOfRoom } from '../scheduling/lack-of-room.js';
import { type ConfigurationInForce, type GatewayState, canServe } from '../state.js';
import { canAnswerBeforeStop, deadlineBeforeStop } from '../stop/time-left.js';
import { type CallerIdentity, identifyCaller } from '../tenants/caller-identity.js';
import { answerMarginMs } from './answer-delays.js';
import { giveUpRequest, refuseCall } from './finish.js';
import { pausedUntil } from './guard.js';
import { holdUntilConfirmed, holdRequest } from './hold-request.js';
import { retryAfterStopping, retryAfterUnrouted } from './retry-after.js';
import { sendLegs } from './send-legs.js';
import { type ActiveRequest, createActiveRequest, createLeg, type Leg } from './request-state.js';
import { createRouteLatency, hedgeDelay } from './route-latency.js';
import { progressRequest } from './progress.js';

/** Part of the caller's timeout reserved for the network path back, in milliseconds. */
const DEADLINE_MARGIN_MS = 10;

/** Refusal reasons for requests that exceed a size limit. */
const EXCESS_REASONS = { headers: 'headers-too-large', body: 'body-too-large' } as const;

const createLegs = (state: GatewayState, route: Route): readonly Leg[] => {
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

/** When the final answer is due without regard to a stop, in milliseconds on the clock. */
const ownDeadlineOf = (
  { budgetMs }: CallerRequest,
  { timeoutMs }: Route,
  receivedAt: number,
): number => {
  const callerWaitMs = (budgetMs ?? timeoutMs) - DEADLINE_MARGIN_MS;
  return receivedAt + Math.max(1, Math.min(timeoutMs, callerWaitMs));
};

const createRequest = (
  state: GatewayState,
  route: Route,
  { call, request, at: receivedAt }: RequestReceived,
  identity: CallerIdentity,
  at: number,
): ActiveRequest => {
  const tenant = tenantOf(identity);
  const legs = createLegs(state, route);
  const isFirst = request.isFirstOnConnection === true;
  const margin = answerMarginMs(state.answerDelays, route, isFirst);
  const latency = state.latencies.get(route.name) ?? createRouteLatency(route);
  const objectiveAt = receivedAt + route.objectiveMs - margin;
  const ownDeadlineAt = ownDeadlineOf(request, route, receivedAt);
  return createActiveRequest({
    call,
    origin: 'caller',
    request,
    route,
    legs,
    receivedAt,
    deadlineAt: deadlineBeforeStop(state, ownDeadlineAt),
    ownDeadlineAt,
    objectiveAt,
    hedgeAt: at + hedgeDelay(latency, route, objectiveAt - at),
    acknowledgeAt: undefined,
    rank: classRank(tenant?.priority, route.priority),
    tenant: tenant?.name,
    isCallerReplaced: identity.type !== 'unrestricted',
  });
};

const traceAdmission = (state: GatewayState, request: ActiveRequest, at: number): void =>
  recordDecision(request.decisions, at, {
    event: 'request-admitted',
    route: request.route.name,
    ...(request.tenant !== undefined && { tenant: request.tenant }),
    fingerprint: request.request.fingerprint,
    version: state.inForce?.configuration.version ?? 0,
    versionAgeMs: Math.round(at - (state.inForce?.since ?? at)),
    ...(isRestoreRecent(state.storeRestores, at) && {
      storeReturnedMsAgo: Math.round(at - state.storeRestores.eraSince),
    }),
    legs: request.legs.length,
    budgetMs: Math.round(request.deadlineAt - at),
    hedgeInMs: Math.round(request.hedgeAt - at),
  });

const startRequest = (state: GatewayState, request: ActiveRequest, at: number): GatewayEffect[] => {
  state.requests.set(request.call, request);
  traceAdmission(state, request, at);
  const lack = findLackOfRoom(state, request, at);
  if (lack !== undefined) {
    recordDecision(request.decisions, at, describeLack(request, lack));
  }
  if (lack?.isSent === false) {
    return giveUpRequest(state, request, 'no-room', at);
  }
  const sent = sendLegs(state, request, request.legs, false, at);
  return [...sent, ...progressRequest(state, request, at)];
};

/** Refuses a request that crashes replicas; the answer states when the next trial is due. */
const refuseBlocked = (
  state: GatewayState,
  event: RequestReceived,
  at: number,
): GatewayEffect[] => {
  const known = state.crashes.histories.find(event.request.fingerprint, at);
  const retryAfterMs = Math.ceil(nextTrialAt(known) - at);
  return refuseCall(state, event, 'crashes-replicas', retryAfterMs, at);
};

/** Starts the trial of a blocked request here; other gateways keep refusing it until the outcome is known. */
const claimTrial = (state: GatewayState, fingerprint: Fingerprint, at: number): GatewayEffect[] => {
  const known = markTrialStarted(state.crashes.histories.find(fingerprint, at), at);
  const origin = { from: state.settings.node, isUrgent: true };
  return updateHistory(state, fingerprint, known, origin, at);
};

const tenantOf = (identity: CallerIdentity): Tenant | undefined =>
  identity.type === 'tenant' ? identity.tenant : undefined;

/** Replaces the headers that identify the caller, where the configuration has tenants. */
const setCaller = (call: CallId, identity: CallerIdentity): GatewayEffect[] => {
  const tenant = tenantOf(identity);
  return identity.type === 'unrestricted'
    ? []
    : [{ type: 'set-caller', call, ...(tenant !== undefined && { tenant: tenant.name }) }];
};

/** The route with the regions in which both the route and the tenant may be served. */
const withRegionsOf = (route: Route, tenant: Tenant | undefined): Route => {
  const { allowedRegions: own } = route;
  const tenantRegions = tenant?.allowedRegions;
  if (tenantRegions === undefined) {
    return route;
  }
  const allowedRegions =
    own === undefined ? tenantRegions : own.filter((region) => tenantRegions.includes(region));
  return { ...route, allowedRegions };
};

/** Sends a request whose caller is known, if it is within its tenant's limit. */
const admitRequest = (
  state: GatewayState,
  route: Route,
  event: RequestReceived,
  identity: CallerIdentity,
  at: number,
): GatewayEffect[] => {
  const tenant = tenantOf(identity);
  if (tenant === undefined) {
    return [
      ...setCaller(event.call, identity),
      ...sendUnlessHopeless(state, route, event, identity, at),
    ];
  }
  const token = takeToken(state, tenant, route, event, at);
  switch (token.type) {
    case 'waiting':
      return [...token.effects];
    case 'refused':
      return [
        ...token.effects,
        ...refuseCall(state, event, token.reason, token.retryAfterMs, at, token.limit),
      ];
    case 'granted':
      return [
        ...token.effects,
        ...setCaller(event.call, identity),
        ...sendUnlessHopeless(state, withRegionsOf(route, tenant), event, identity, at),
      ];
  }
};

/** Identifies the caller of a request and admits it, or refuses it. */
const authorizeRequest = (
  state: GatewayState,
  inForce: ConfigurationInForce,
  route: Route,
  event: RequestReceived,
  at: number,
): GatewayEffect[] => {
  const identity = identifyCaller(inForce, route, event.request);
  if (identity.type === 'rejected') {
    return refuseCall(state, event, identity.reason, undefined, at);
  }
  if (identity.type === 'tenant' && !areKeysConfirmed(state, at)) {
    return holdUntilConfirmed(state, event, at);
  }
  return admitRequest(state, route, event, identity, at);
};

/** Routes a request; `at` is later than its arrival when the request was held. */
export const routeRequest = (
  state: GatewayState,
  event: RequestReceived,
  at: number,
): GatewayEffect[] => {
  const { inForce } = state;
  const route = inForce?.table.find(event.request.host, event.request.path);
  return inForce === undefined || route === undefined
    ? refuseCall(state, event, 'no-route', undefined)
    : authorizeRequest(state, inForce, route, event, at);
};

/** Sends a request, unless it is known to crash replicas or this process ends before it can be answered. */
const sendUnlessHopeless = (
  state: GatewayState,
  route: Route,
  event: RequestReceived,
  identity: CallerIdentity,
  at: number,
): GatewayEffect[] => {
  const { fingerprint } = event.request;
  const verdict = state.crashes.histories.verdict(fingerprint, at);
  const unrun = { tenant: tenantOf(identity)?.name, receivedAt: event.at };
  if (verdict === 'blocked') {
    returnToken(state, unrun, at);
    return refuseBlocked(state, event, at);
  }
  if (!canAnswerBeforeStop(state, route, ownDeadlineOf(event.request, route, event.at), at)) {
    returnToken(state, unrun, at);
    return refuseCall(state, event, 'stopping', retryAfterStopping(state), at);
  }
  const created = createRequest(state, route, event, identity, at);
  const untilAt = pausedUntil(state, created);
  if (verdict === 'suspected' && untilAt >= created.deadlineAt) {
    returnToken(state, unrun, at);
    return refuseCall(state, event, 'replicas-crashed', Math.ceil(untilAt - at), at);
  }
  created.isTrial = verdict === 'trial-due';
  const claimed = created.isTrial ? claimTrial(state, fingerprint, at) : [];
  return [...claimed, ...startRequest(state, created, at)];
};

/** Reason to refuse a request regardless of its route; undefined when it is acceptable. */
const refusalReasonFor = (
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
  // The first configuration may raise the initial limits, so the refusal must be one that can be retried.
  return inForce === undefined ? 'no-configuration' : EXCESS_REASONS[excess];
};

/** Handles `request-received`. */
export const handleRequestReceived = (
  state: GatewayState,
  event: RequestReceived,
): GatewayEffect[] => {
  const problem = refusalReasonFor(state, event.request);
  if (problem !== undefined) {
    const isUnread = problem === 'no-configuration';
    return refuseCall(state, event, problem, isUnread ? retryAfterUnrouted(state) : undefined);
  }
  return canServe(state) ? routeRequest(state, event, event.at) : holdRequest(state, event);
};

/** Routes the requests that were held for the first configuration, once it is in force. */
export const routeHeldRequests = (state: GatewayState, at: number): GatewayEffect[] => {
  if (!canServe(state) || state.held.size === 0) {
    return [];
  }
  const events = [...state.held.values()];
  state.held.clear();
  return events.flatMap((event) => routeRequest(state, event, at));
};
