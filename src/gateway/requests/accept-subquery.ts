/** Admits subqueries of other gateways: requests the part of each shard from a replica. */
import type { AnswerSubquery, GatewayEffect } from '../effect.js';
import type { SubqueryCancelled, SubqueryReceived } from '../event.js';
import { recordDecision, writeTrace } from '../log/trace.js';
import type { CallId } from '../model/request.js';
import type { Route } from '../model/route.js';
import type { Subquery } from '../model/subquery.js';
import { classRank } from '../scheduling/class-rank.js';
import type { GatewayState } from '../state.js';
import { deadlineBeforeStop } from '../stop/time-left.js';
import { giveUpAttempts } from './give-up-attempts.js';
import { progressRequest } from './progress.js';
import { type ActiveRequest, createActiveRequest, createLeg } from './request-state.js';
import { createRouteLatency, hedgeDelay } from './route-latency.js';
import { sendLegs } from './send-legs.js';

/**
 * Time after which a subquery without an answer is acknowledged, in milliseconds, so that the coordinator does not
 * consider this feeder lost. Subqueries answered sooner are not acknowledged: each message costs processor time on
 * both sides.
 */
export const ACKNOWLEDGE_AFTER_MS = 12;

/** The route of a subquery: those properties of the gather's route that govern its attempts. */
const routeOf = (subquery: Subquery): Route => ({
  name: subquery.route,
  host: '',
  pathPrefix: '/',
  repeatable: true,
  timeoutMs: subquery.deadlineMs,
  objectiveMs: subquery.objectiveMs,
  maxAttempts: subquery.maxAttempts,
  priority: 0,
  ...(subquery.allowedRegions !== undefined && { allowedRegions: subquery.allowedRegions }),
  target: {
    type: 'gather',
    shards: subquery.shards,
    maxRecords: subquery.maxRecords,
    minCoverage: 0,
  },
});

/** The priority of the gather's route by the configuration in force here; the highest one if it has no such route. */
const priorityOf = ({ inForce }: GatewayState, name: string): number =>
  inForce?.table.named(name)?.priority ?? 0;

const createRequest = (
  state: GatewayState,
  { call, requestId, fingerprint, subquery, at }: SubqueryReceived,
): ActiveRequest => {
  const route = routeOf(subquery);
  const latency = state.latencies.get(route.name) ?? createRouteLatency(route);
  return createActiveRequest({
    call,
    origin: 'coordinator',
    request: { requestId, fingerprint, host: '', path: '' },
    route,
    legs: subquery.shards.map(createLeg),
    receivedAt: at,
    deadlineAt: deadlineBeforeStop(state, at + subquery.deadlineMs),
    ownDeadlineAt: at + subquery.deadlineMs,
    objectiveAt: at + subquery.partsWithinMs,
    hedgeAt: at + hedgeDelay(latency, route, subquery.partsWithinMs),
    acknowledgeAt: at + ACKNOWLEDGE_AFTER_MS,
    rank: subquery.rank ?? classRank(undefined, priorityOf(state, subquery.route)),
    tenant: undefined,
    isCallerReplaced: false,
  });
};

const isBlockedHere = (
  { crashes }: GatewayState,
  { fingerprint, subquery, at }: SubqueryReceived,
): boolean => {
  const verdict = crashes.histories.verdict(fingerprint, at);
  const isBlocked = verdict === 'blocked' || verdict === 'trial-due';
  return isBlocked && subquery.isTrial !== true;
};

/** Answers without a part: the request crashes replicas, so the coordinator must not send it to another feeder. */
const answerBlocked = (call: CallId): AnswerSubquery => ({
  type: 'answer-subquery',
  call,
  part: { shards: [], records: new Uint8Array(), unsent: [], hasCrashed: true, isFinal: true },
});

/** Handles `subquery-received`. */
export const handleSubqueryReceived = (
  state: GatewayState,
  event: SubqueryReceived,
): GatewayEffect[] => {
  const { call, fingerprint, subquery, at } = event;
  const isServing = state.phase === 'starting' || state.phase === 'serving';
  if (!isServing || !state.replicasListed || state.pauseRecovery !== undefined) {
    return [{ type: 'refuse-subquery', call }];
  }
  if (isBlockedHere(state, event)) {
    return [answerBlocked(call)];
  }
  const request = createRequest(state, event);
  request.isTrial = subquery.isTrial === true;
  state.requests.set(call, request);
  state.counters.subqueries.add('taken');
  recordDecision(request.decisions, at, {
    event: 'subquery-admitted',
    route: subquery.route,
    fingerprint,
    shards: subquery.shards.length,
    isRepeat: subquery.isRepeat,
    partsInMs: Math.round(subquery.partsWithinMs),
  });
  const sent = sendLegs(state, request, request.legs, subquery.isRepeat, at);
  return [...sent, ...progressRequest(state, request, at)];
};

/** Handles `subquery-cancelled`. */
export const handleSubqueryCancelled = (
  state: GatewayState,
  { call, withinMs, at }: SubqueryCancelled,
): GatewayEffect[] => {
  const request = state.requests.get(call);
  if (request === undefined) {
    return [];
  }
  state.requests.delete(call);
  const elapsedMs = Math.round(at - request.receivedAt);
  recordDecision(request.decisions, at, { event: 'subquery-cancelled', elapsedMs });
  return [
    { type: 'discard-call', call },
    ...giveUpAttempts(state, request, withinMs, at),
    ...writeTrace(request.request.requestId, request.decisions, true),
  ];
};
