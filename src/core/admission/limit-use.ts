/** This node's use of a limit: demand, queries in progress and tokens. */
import type { LimitKey } from '../../protocol/grant-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import { routeRowKey } from '../configuration/state.js';
import type { CoreState } from '../state.js';
import { BURST_SECONDS, DEMAND_DECAY } from './limit-timing.js';
import { type Grantee, limitName, type LimitUse } from './state.js';

const MS_PER_SECOND = 1_000;

/** Returns the key of a row that limits use. */
export const rowNameOf = (row: RouteRow): string => routeRowKey(row.partner, row.route, row.kind);

/** Returns the amount that a row sets for a bound; undefined if it has no such limit. */
export const limitAmount = (
  row: RouteRow | undefined,
  bound: LimitKey['bound'],
): number | undefined => (bound === 'concurrent' ? row?.concurrentLimit : row?.perSecondLimit);

const createUse = (limit: LimitKey, at: number): LimitUse => ({
  limit,
  asker: 'node',
  held: undefined,
  pending: undefined,
  used: 0,
  peak: 0,
  arrivals: 0,
  refusals: 0,
  hadRefusals: false,
  demand: 0,
  requestedAt: at,
  lastArrivalAt: Number.NEGATIVE_INFINITY,
  tokens: 0,
  tokensAt: at,
});

/** Returns this node's use of `limit`; creates it if there is none. */
export const getLimitUse = (state: CoreState, limit: LimitKey, at: number): LimitUse => {
  const name = limitName(limit);
  const known = state.admission.uses.get(name);
  if (known !== undefined) {
    return known;
  }
  const use = createUse(limit, at);
  state.admission.uses.set(name, use);
  return use;
};

/** Returns the amount that may be used or divided now; 0 once the grant has lapsed. */
export const usableAmount = ({ held }: Grantee, at: number): number =>
  held !== undefined && at < held.expiresAt ? held.amount : 0;

/** Adds the tokens since the last refill, at `rate` per second; `rate` is 0 without a valid grant. */
export const refillTokens = (use: LimitUse, rate: number, at: number): void => {
  const newTokens = (rate * (at - use.tokensAt)) / MS_PER_SECOND;
  use.tokens = Math.min(Math.max(1, rate * BURST_SECONDS), use.tokens + newTokens);
  use.tokensAt = at;
};

/** Measures the demand since the last request, in concurrent queries or queries per second. */
export const measureDemand = (use: LimitUse, at: number): number => {
  if (use.limit.bound === 'concurrent') {
    return use.peak + use.refusals;
  }
  const elapsedMs = Math.max(1, at - use.requestedAt);
  return (use.arrivals * MS_PER_SECOND) / Math.max(elapsedMs, MS_PER_SECOND / 10);
};

/** Updates and returns the demand since the last request, and starts a new measuring interval. */
export const updateDemand = (use: LimitUse, at: number): number => {
  use.demand = Math.max(measureDemand(use, at), use.demand * DEMAND_DECAY);
  if (use.demand < 0.01) {
    use.demand = 0;
  }
  use.requestedAt = at;
  use.peak = use.used;
  use.hadRefusals = use.refusals > 0;
  use.arrivals = 0;
  use.refusals = 0;
  return use.demand;
};
