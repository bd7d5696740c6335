/** Admission of queries: counts a query against its row's limits, or refuses it. */
import type { LimitBound } from '../../protocol/grant-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { MAX_RETRY_AFTER_MS, RETRY_AFTER_MS } from './limit-timing.js';
import { getLimitUse, refillTokens, rowNameOf, usableAmount } from './limit-use.js';
import { requestUrgentGrant } from './request-grant.js';
import type { LimitUse } from './state.js';

/** The decision of a row's limits on one query. */
export interface AdmissionDecision {
  /** Whether the query counts against the limits from now on; end it with `releaseQuery`. */
  readonly admitted: boolean;
  /** Time after which a refused caller may retry, in milliseconds; 0 if admitted. */
  readonly retryAfterMs: number;
  /** Effects to apply in either case. */
  readonly effects: Effect[];
}

const MS_PER_SECOND = 1_000;

const getRowUse = (state: CoreState, row: RouteRow, bound: LimitBound, at: number): LimitUse =>
  getLimitUse(state, { row: rowNameOf(row), bound }, at);

const recordArrival = (use: LimitUse, at: number): void => {
  use.arrivals += 1;
  use.lastArrivalAt = at;
};

/** Returns the time until one more concurrent query may start, in milliseconds; 0 if it may now. */
const computeSlotWait = (row: RouteRow, use: LimitUse, at: number): number => {
  if (row.concurrentLimit === undefined) {
    return 0;
  }
  recordArrival(use, at);
  const usable = Math.min(usableAmount(use, at), row.concurrentLimit);
  return use.used < usable ? 0 : RETRY_AFTER_MS;
};

/** Returns the time until a token is available for one more query, in milliseconds; 0 if one is. */
const computeTokenWait = (row: RouteRow, use: LimitUse, at: number): number => {
  if (row.perSecondLimit === undefined) {
    return 0;
  }
  recordArrival(use, at);
  const rate = Math.min(usableAmount(use, at), row.perSecondLimit);
  refillTokens(use, rate, at);
  if (rate === 0) {
    return RETRY_AFTER_MS;
  }
  return use.tokens >= 1 ? 0 : Math.ceil(((1 - use.tokens) * MS_PER_SECOND) / rate);
};

const createRefusal = (state: CoreState, uses: readonly LimitUse[], waitMs: number, at: number) => {
  const jitterFactor = 1 + state.random.next() / 2;
  return {
    admitted: false,
    retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.ceil(waitMs * jitterFactor)),
    effects: uses.flatMap((use) => {
      use.refusals += 1;
      return requestUrgentGrant(state, use, at);
    }),
  };
};

/** Counts a query of `row` against its limits, or refuses it. */
export const admitQuery = (state: CoreState, row: RouteRow, at: number): AdmissionDecision => {
  const concurrent = getRowUse(state, row, 'concurrent', at);
  const slotWaitMs = computeSlotWait(row, concurrent, at);
  const perSecond =
    row.perSecondLimit === undefined ? undefined : getRowUse(state, row, 'per-second', at);
  const tokenWaitMs = perSecond === undefined ? 0 : computeTokenWait(row, perSecond, at);
  if (slotWaitMs > 0 || tokenWaitMs > 0) {
    const exceededUses = [
      ...(slotWaitMs > 0 ? [concurrent] : []),
      ...(perSecond !== undefined && tokenWaitMs > 0 ? [perSecond] : []),
    ];
    return createRefusal(state, exceededUses, Math.max(slotWaitMs, tokenWaitMs), at);
  }
  concurrent.used += 1;
  concurrent.peak = Math.max(concurrent.peak, concurrent.used);
  if (perSecond !== undefined) {
    perSecond.tokens -= 1;
  }
  return { admitted: true, retryAfterMs: 0, effects: [] };
};

/** Ends a query that `admitQuery` has admitted; must be called exactly once for each. */
export const releaseQuery = (state: CoreState, row: RouteRow, at: number): Effect[] => {
  const concurrent = getRowUse(state, row, 'concurrent', at);
  concurrent.used = Math.max(0, concurrent.used - 1);
  return [];
};
