/** What this node uses of a limit: demand, queries in progress, tokens. */
import type { LimitKey } from '../../protocol/grant-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import { routeRowKey } from '../configuration/state.js';
import type { CoreState } from '../state.js';
import { BURST_SECONDS, DEMAND_DECAY } from './limit-timing.js';
import { type Grantee, limitName, type LimitUse } from './state.js';

const MS_PER_SECOND = 1_000;

/** The limits' name of a row. */
export const rowNameOf = (row: RouteRow): string => routeRowKey(row.partner, row.route, row.kind);

/** The amount a row sets for a bound; undefined for no limit. */
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

/** The use of `limit`, begun when there is none. */
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

/** What may be used of the limit, or divided, now: nothing once the grant has lapsed. */
export const usableAmount = ({ held }: Grantee, at: number): number =>
  held !== undefined && at < held.expiresAt ? held.amount : 0;

/** Adds the tokens that have come since the last look; none come without a valid grant. */
export const refillTokens = (use: LimitUse, rate: number, at: number): void => {
  const newTokens = (rate * (at - use.tokensAt)) / MS_PER_SECOND;
  use.tokens = Math.min(Math.max(1, rate * BURST_SECONDS), use.tokens + newTokens);
  use.tokensAt = at;
};

/** The demand since the last request: queries at once, or queries a second. */
export const measureDemand = (use: LimitUse, at: number): number => {
  if (use.limit.bound === 'concurrent') {
    return use.peak + use.refusals;
  }
  const elapsedMs = Math.max(1, at - use.requestedAt);
  return (use.arrivals * MS_PER_SECOND) / Math.max(elapsedMs, MS_PER_SECOND / 10);
};

/** Sums up the demand since the last request and begins a new span. */
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
