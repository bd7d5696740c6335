/** Accepts or refuses a caller's request: looks up its row, builds the plan, checks limits and starts it. */
import type { LegContext } from '../../protocol/leg-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import { admitQuery } from '../admission/admit-query.js';
import { routeRowKey } from '../configuration/state.js';
import type { Effect } from '../effect.js';
import type { QueryArrived } from '../event.js';
import { identifier, type RequestId } from '../identifiers.js';
import { requestClaim } from '../once/claim.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery } from './active-query.js';
import { buildQueryPlan } from './build-query-plan.js';
import { createAnswerMerge } from './merge-answers.js';
import { setCheckTimer } from './hopeless-legs.js';
import { getRowObservation } from './observations.js';
import { isBelowLimit, recordQueryStarted, chooseRetryDelay } from './overload-limit.js';
import type { QueryPlan } from './query-plan.js';
import type { QueryRequest, RefusalReason } from './query-request.js';
import { createLeg, scatterQuery } from './scatter-query.js';
import { countRequiredShards } from './required-shards.js';

const IDENTIFIER_RADIX = 36;

type ScatterPlan = Extract<QueryPlan, { type: 'scatter' }>;

const nextRequestId = (state: CoreState): RequestId => {
  state.query.accepted += 1;
  const number = state.query.accepted.toString(IDENTIFIER_RADIX);
  return identifier<RequestId>(`${state.query.identifierPrefix}${number}`);
};

const refuseRequest = (
  state: CoreState,
  event: QueryArrived,
  reason: RefusalReason,
  retryAfterMs?: number,
): Effect[] => {
  state.counters.queries_not_run += 1;
  const request = nextRequestId(state);
  const cost = { needed: 0, sent: 0, hedges: 0, retries: 0 };
  const pause = retryAfterMs === undefined ? {} : { retryAfterMs };
  const outcome = { type: 'not-run', request, reason, cost, ...pause } as const;
  return [{ type: 'answer-caller', call: event.call, outcome }];
};

/** Time after which a caller may retry at a node that is still starting, in milliseconds. */
export const STARTING_RETRY_AFTER_MS = 1_000;
/**
 * Time after which a caller may retry at a stopping node, in milliseconds. By then a successor serves
 * at its address; an earlier retry may reach the closing port and have its connection reset.
 */
const STOPPING_RETRY_AFTER_MS = 5_000;

const retryAfterOf = (reason: RefusalReason): number | undefined => {
  switch (reason) {
    case 'not-ready':
      return STARTING_RETRY_AFTER_MS;
    case 'stopping':
      return STOPPING_RETRY_AFTER_MS;
    default:
      return undefined;
  }
};

/** Returns why the request is refused, judged by the node's phase and the request's form alone. */
const findRefusalReason = (
  state: CoreState,
  row: RouteRow | undefined,
  query: QueryRequest,
): RefusalReason | undefined => {
  if (state.phase !== 'serving') {
    return state.phase === 'starting' ? 'not-ready' : 'stopping';
  }
  if (row === undefined) {
    return 'unknown-route';
  }
  const keyMissing = !row.safeToRepeat && query.idempotencyKey === undefined;
  return keyMissing ? 'key-missing' : undefined;
};

const createContext = (
  request: RequestId,
  row: RouteRow,
  query: QueryRequest,
  plan: ScatterPlan,
): LegContext => ({
  request,
  partner: row.partner,
  route: row.route,
  kind: row.kind,
  snapshot: plan.snapshot,
  safeToRepeat: row.safeToRepeat,
  ...(query.idempotencyKey === undefined ? {} : { idempotencyKey: query.idempotencyKey }),
  maxItems: Math.min(row.maxItems, query.maxItems ?? row.maxItems),
  payload: query.payload,
});

const createActiveQuery = (
  state: CoreState,
  event: QueryArrived,
  row: RouteRow,
  plan: ScatterPlan,
): ActiveQuery => {
  const { query } = event;
  const request = nextRequestId(state);
  const context = createContext(request, row, query, plan);
  return {
    request,
    call: event.call,
    row,
    observed: getRowObservation(state.query.observations, row),
    query,
    startedAt: event.at,
    deadlineAt: event.at + Math.min(row.deadlineMs, query.deadlineMs ?? row.deadlineMs),
    checkAt: event.at,
    requiredShards: countRequiredShards(row, query, plan.shards.length),
    phase: row.safeToRepeat ? 'running' : 'claiming',
    context,
    legs: plan.shards.map(createLeg),
    merge: createAnswerMerge(row.merge, context.maxItems),
    legsAwaitingRetry: [],
    contributed: 0,
    open: plan.shards.length,
    nearlyComplete: false,
    hedgeArmed: false,
    attemptsMade: 0,
    needed: 0,
    sent: 0,
    hedges: 0,
    retries: 0,
    restarts: 0,
  };
};

const startQuery = (state: CoreState, active: ActiveQuery, at: number, effects: Effect[]): void => {
  state.counters.queries_accepted += 1;
  state.query.inProgress += 1;
  recordQueryStarted(active.observed.overload);
  state.query.queries.set(active.request, active);
  state.query.requestOfCall.set(active.call, active.request);
  effects.push(setCheckTimer(active, at));
  if (active.phase === 'running') {
    scatterQuery(state, active, at, effects);
    return;
  }
  const claimKey = active.query.idempotencyKey ?? '';
  effects.push(...requestClaim(state, active.request, active.row.partner, claimKey, at));
};

/**
 * Handles a caller's request: starts a query for it, or refuses it with a reason.
 *
 * @returns effects; a refusal is an `answer-caller` with outcome `not-run`
 */
export const acceptQuery = (state: CoreState, event: QueryArrived): Effect[] => {
  const { query, at } = event;
  const { rows } = state.configuration.inForce;
  const row = rows.get(routeRowKey(query.partner, query.route, query.kind));
  const refusal = findRefusalReason(state, row, query);
  if (refusal !== undefined || row === undefined) {
    const reason = refusal ?? 'unknown-route';
    return refuseRequest(state, event, reason, retryAfterOf(reason));
  }
  const plan = buildQueryPlan(state, row, query, at);
  if (plan.type === 'refuse') {
    return refuseRequest(state, event, plan.reason);
  }
  const { overload } = getRowObservation(state.query.observations, row);
  if (!isBelowLimit(overload)) {
    return refuseRequest(state, event, 'overloaded', chooseRetryDelay(state.random));
  }
  const { admitted, retryAfterMs, effects } = admitQuery(state, row, at);
  if (!admitted) {
    return [...effects, ...refuseRequest(state, event, 'over-limit', retryAfterMs)];
  }
  startQuery(state, createActiveQuery(state, event, row, plan), at, effects);
  return effects;
};
