/** Refreshes limits periodically: renews grants and leases, rebalances books and removes unused state. */
import type { RouteRow } from '../../table/route-row.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { refreshDividers } from './divide-grant.js';
import { rebalanceBook } from './limit-book.js';
import {
  IDLE_AFTER_MS,
  IDLE_REFRESH_MS,
  IDLE_GRANT_MAX_MEMBERS,
  REFRESH_MS,
  RENEW_IDLE_MS,
} from './limit-timing.js';
import { getLimitUse, limitAmount, rowNameOf, usableAmount } from './limit-use.js';
import {
  isAwaitingAnswer,
  returnOwnGrant,
  isRenewalDue,
  removeLapsedGrant,
  requestOwnGrant,
} from './request-grant.js';
import { limitName, type LimitUse, type Tenure } from './state.js';
import { holdsLease, refreshTenure } from './tenure.js';

const REFRESH_TIMER = { purpose: 'admission-refresh', subject: '' } as const;

const BOUNDS = ['concurrent', 'per-second'] as const;

const listLimitedRows = (state: CoreState): readonly RouteRow[] => {
  const { rows } = state.configuration.inForce;
  if (state.admission.limitedRows.rows !== rows) {
    const limited = [...rows.values()].filter(
      (row) => row.concurrentLimit !== undefined || row.perSecondLimit !== undefined,
    );
    state.admission.limitedRows = { rows, limited };
  }
  return state.admission.limitedRows.limited;
};

/** Creates the uses of all limited rows in a small tier, so that grants are held before the first query. */
const createUsesOfLimitedRows = (
  state: CoreState,
  limited: readonly RouteRow[],
  at: number,
): void => {
  if (state.membership.members.size > IDLE_GRANT_MAX_MEMBERS) {
    return;
  }
  for (const row of limited) {
    for (const bound of BOUNDS) {
      if (limitAmount(row, bound) !== undefined) {
        getLimitUse(state, { row: rowNameOf(row), bound }, at);
      }
    }
  }
};

const isInDemand = (use: LimitUse, at: number): boolean =>
  use.used > 0 || at < use.lastArrivalAt + IDLE_AFTER_MS;

/** Whether the demand of the current or previous measuring interval exceeds the grant. */
const isBelowDemand = (use: LimitUse, at: number): boolean =>
  use.refusals > 0 || use.hadRefusals || usableAmount(use, at) < use.demand;

/** Whether the use requests its grant again; without demand it does so rarely, in a large tier never. */
const shouldRenew = (state: CoreState, use: LimitUse, at: number): boolean => {
  if (isInDemand(use, at)) {
    return isRenewalDue(use, isBelowDemand(use, at), at);
  }
  const keepsIdleGrants = state.membership.members.size <= IDLE_GRANT_MAX_MEMBERS;
  const hasUsable = usableAmount(use, at) > 0;
  return (
    keepsIdleGrants &&
    isRenewalDue(use, !hasUsable, at) &&
    at >= use.requestedAt + (hasUsable ? RENEW_IDLE_MS : 0)
  );
};

const refreshUse = (state: CoreState, name: string, use: LimitUse, at: number): Effect[] => {
  removeLapsedGrant(state, use, at);
  const row = state.configuration.inForce.rows.get(use.limit.row);
  if (limitAmount(row, use.limit.bound) === undefined) {
    if (use.used === 0 && use.held === undefined) {
      state.admission.uses.delete(name);
    }
    return [];
  }
  return shouldRenew(state, use, at) && !isAwaitingAnswer(use, at)
    ? requestOwnGrant(state, use, at)
    : [];
};

const rebalanceTenure = (state: CoreState, tenure: Tenure, at: number): void => {
  const row = state.configuration.inForce.rows.get(tenure.row);
  for (const book of tenure.books.values()) {
    rebalanceBook(book, limitAmount(row, book.bound) ?? 0, at);
  }
};

const isUnused = (tenure: Tenure, at: number): boolean =>
  !holdsLease(tenure, at) &&
  tenure.pending === undefined &&
  tenure.waiting.size === 0 &&
  [...tenure.books.values()].every((book) => book.slices.size === 0);

const refreshTenures = (state: CoreState, at: number): Effect[] => {
  const effects: Effect[] = [];
  for (const tenure of state.admission.tenures.values()) {
    rebalanceTenure(state, tenure, at);
    effects.push(...refreshTenure(state, tenure, at));
    if (isUnused(tenure, at)) {
      state.admission.tenures.delete(tenure.row);
    }
  }
  return effects;
};

const refreshUses = (state: CoreState, at: number): Effect[] =>
  [...state.admission.uses.values()].flatMap((use) =>
    state.phase === 'stopping'
      ? returnOwnGrant(state, use, at)
      : refreshUse(state, limitName(use.limit), use, at),
  );

/** Refreshes all limits that this node uses, divides or holds, and sets the timer for the next refresh. */
export const refreshLimits = (state: CoreState, at: number): Effect[] => {
  const limited = listLimitedRows(state);
  createUsesOfLimitedRows(state, limited, at);
  const effects = [
    ...refreshTenures(state, at),
    ...refreshDividers(state, at),
    ...refreshUses(state, at),
  ];
  const isIdle =
    limited.length === 0 && state.admission.tenures.size + state.admission.dividers.size === 0;
  const nextAt = at + (isIdle ? IDLE_REFRESH_MS : REFRESH_MS);
  return [...effects, { type: 'set-timer', key: REFRESH_TIMER, at: nextAt }];
};
