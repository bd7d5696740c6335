/** Admits requests of tenants within their limits, which hold over all gateways together. */
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import type { LimitRefusal } from '../log/log-event.js';
import type { CallId } from '../model/request.js';
import type { Route } from '../model/route.js';
import type { Tenant } from '../model/tenant.js';
import { classRank } from '../scheduling/class-rank.js';
import type { GatewayState } from '../state.js';
import { askNext, chooseCandidates, leaseOf, reportToOwner } from './ask-tokens.js';
import {
  countDemand,
  type Denial,
  findDenial,
  findStamp,
  giveBack,
  isRefillDue,
  consumeLeased,
} from './holder-lease.js';
import { putBack } from './token-bucket.js';
import { setQuotasTimer } from './quotas-timer.js';
import type { WaitingCall } from './quota-state.js';

/**
 * Share of a request's objective for which each gateway is waited for. An answer from another zone takes 2.8 ms and the time
 * that both processes need; with three gateways, at most 0.45 of the objective is spent.
 */
const STEP_SHARE = 0.15;

/** Bounds of this time, in milliseconds. Tokens are valid for `IMMEDIATE_MS`, which is three times the longest. */
const MIN_STEP_MS = 6;
const MAX_STEP_MS = 30;

/** Shortest retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** Jitter of retry delays, as a share of them. */
const RETRY_JITTER_SHARE = 0.5;

/**
 * Whether a request is within its tenant's limit. `waiting`: a token was requested from another gateway; the request is
 * routed again when the answer arrives.
 */
export type TokenResult =
  | { readonly type: 'granted'; readonly effects: readonly GatewayEffect[] }
  | { readonly type: 'waiting'; readonly effects: readonly GatewayEffect[] }
  | {
      readonly type: 'refused';
      readonly reason: 'over-limit' | 'limit-unavailable';
      readonly retryAfterMs: number;
      /** Inputs of the decision, for the trace of the request. */
      readonly limit: LimitRefusal;
      readonly effects: readonly GatewayEffect[];
    };

type RefusedToken = Extract<TokenResult, { readonly type: 'refused' }>;

/** A request that ended without having run. */
export interface UnrunRequest {
  readonly tenant: string | undefined;
  readonly receivedAt: number;
}

/** Refuses a request because of a decision about its tenant. */
export const refuseToken = (
  { random }: GatewayState,
  { name, limit }: Tenant,
  denial: Denial,
  effects: readonly GatewayEffect[],
  at: number,
): RefusedToken => {
  const waitMs = Math.max(MIN_RETRY_AFTER_MS, denial.tokenAt - at);
  return {
    type: 'refused',
    reason: denial.reason,
    retryAfterMs: Math.ceil(waitMs * (1 + RETRY_JITTER_SHARE * random.next())),
    limit: {
      tenant: name,
      ratePerSecond: limit?.ratePerSecond ?? 0,
      burst: limit?.burst ?? 0,
      decidedBy: denial.by,
      decidedMsAgo: Math.round(at - denial.since),
      tokenInMs: Math.round(Math.max(0, denial.tokenAt - at)),
    },
    effects,
  };
};

const GRANTED: TokenResult = { type: 'granted', effects: [] };

const ask = (
  state: GatewayState,
  tenant: Tenant,
  route: Route,
  event: RequestReceived,
  at: number,
): TokenResult => {
  const lease = leaseOf(state, tenant.name, at);
  const { candidates, effects } = chooseCandidates(state, lease, at);
  const waiting: WaitingCall = {
    event,
    tenant,
    rank: classRank(tenant.priority, route.priority),
    stepMs: Math.min(MAX_STEP_MS, Math.max(MIN_STEP_MS, route.objectiveMs * STEP_SHARE)),
    candidates,
    next: 0,
    askedOf: undefined,
    shortOf: undefined,
  };
  const asked = askNext(state, waiting, at);
  const all = [...effects, ...asked.effects];
  return asked.type === 'denied'
    ? refuseToken(state, tenant, asked.denial, all, at)
    : { type: asked.type, effects: all };
};

/** Takes a token of `tenant` for a request. */
export const takeToken = (
  state: GatewayState,
  tenant: Tenant,
  route: Route,
  event: RequestReceived,
  at: number,
): TokenResult => {
  const { quotas, settings } = state;
  if (settings.bounds.quotaWindowMs === undefined || tenant.limit === undefined) {
    return GRANTED;
  }
  if (quotas.granted.has(event.call)) {
    return GRANTED;
  }
  const lease = leaseOf(state, tenant.name, at);
  countDemand(lease, at);
  if (consumeLeased(lease, at)) {
    const refill = isRefillDue(lease, at) ? reportToOwner(state, lease, at) : [];
    return { type: 'granted', effects: [...refill, ...setQuotasTimer(state, at)] };
  }
  const denial = findDenial(lease, classRank(tenant.priority, route.priority), at);
  if (denial !== undefined) {
    return refuseToken(state, tenant, denial, setQuotasTimer(state, at), at);
  }
  const result = ask(state, tenant, route, event, at);
  return { ...result, effects: [...result.effects, ...setQuotasTimer(state, at)] };
};

/** Returns the token of a request that ended without having run. */
export const returnToken = (
  { quotas, settings }: GatewayState,
  { tenant, receivedAt }: UnrunRequest,
  at: number,
): void => {
  const lease = tenant === undefined ? undefined : quotas.leases.get(tenant);
  if (tenant === undefined || lease === undefined) {
    return;
  }
  const owned = quotas.owned.get(tenant);
  const { ownPlace } = quotas.owners.rank(tenant, settings.node, at);
  if (owned !== undefined && ownPlace === 0) {
    const stamp = lease.owner === settings.node ? findStamp(lease, receivedAt) : undefined;
    if (lease.backupAt < receivedAt && owned.since <= receivedAt && stamp !== undefined) {
      putBack(owned.bucket, 1, stamp.returnLimit);
    }
    return;
  }
  if (giveBack(lease, receivedAt, at)) {
    // The next request asks the owner, which can grant the token again.
    lease.denial = undefined;
  }
};

/** Removes a request that waits for a token, as its caller has left; false if it does not wait. */
export const removeWaitingCall = ({ quotas }: GatewayState, call: CallId): boolean =>
  quotas.waiting.delete(call);

/** Number of requests that wait for tokens. */
export const waitingForTokens = ({ quotas }: GatewayState): number => quotas.waiting.size;
