/**
 * A divider holds one grant for a zone or a group of nodes and divides it among them. The grants it
 * gives end before its own grant and never exceed it in sum. It needs no lease, because the level above
 * counts all that it may have given. Any node that receives such a request acts as a divider; two
 * dividers of one zone each have a grant of their own.
 */
import type { GrantRequest, GrantReturn, LimitKey } from '../../protocol/grant-messages.js';
import { CLOCK_RATE_MARGIN } from '../keepers/keeper-timing.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import {
  createBook,
  grantSlice,
  recordWaitingDemand,
  rebalanceBook,
  returnSlice,
} from './limit-book.js';
import { IDLE_AFTER_MS, RENEW_URGENT_MS, URGENT_GROWTH } from './limit-timing.js';
import { limitAmount, usableAmount } from './limit-use.js';
import {
  isAwaitingAnswer,
  isRenewalDue,
  removeLapsedGrant,
  requestGrant,
} from './request-grant.js';
import { dividerName, type GrantDivider, sliceName } from './state.js';

/** The level at which a divider receives requests; it requests its own grant under the same name. */
type DividedLevel = 'group' | 'zone';

const createDivider = (limit: LimitKey, asker: DividedLevel, at: number): GrantDivider => ({
  limit,
  asker,
  held: undefined,
  pending: undefined,
  demand: 0,
  requestedAt: Number.NEGATIVE_INFINITY,
  book: createBook(limit.bound),
  lastRequestAt: at,
  waiting: new Map(),
});

const getDivider = (
  state: CoreState,
  limit: LimitKey,
  level: DividedLevel,
  at: number,
): GrantDivider => {
  const name = dividerName(limit, level);
  const divider = state.admission.dividers.get(name) ?? createDivider(limit, level, at);
  state.admission.dividers.set(name, divider);
  return divider;
};

const getLimitAmount = (state: CoreState, { row, bound }: LimitKey): number | undefined =>
  limitAmount(state.configuration.inForce.rows.get(row), bound);

/**
 * Returns how long a grant given now may be valid, in milliseconds, so that it lapses on every clock
 * before the divider's own grant.
 */
const remainingValidMs = ({ held }: GrantDivider, at: number): number =>
  held === undefined ? 0 : Math.floor((held.expiresAt - at) / (1 + CLOCK_RATE_MARGIN));

/** Requests the divider's grant or its renewal, and reports all that its grantees may be using. */
const requestDividerGrant = (state: CoreState, divider: GrantDivider, at: number): Effect[] => {
  const { demand, counted } = divider.book;
  return isAwaitingAnswer(divider, at) ? [] : requestGrant(state, divider, demand, counted, at);
};

/** Whether the grantees' demand clearly exceeds the reported demand and the usable amount. */
const isUrgent = (divider: GrantDivider, at: number): boolean => {
  const { demand } = divider.book;
  const hasGrown = demand > divider.demand * URGENT_GROWTH && demand > usableAmount(divider, at);
  return hasGrown && at >= divider.requestedAt + RENEW_URGENT_MS;
};

/** Answers a grantee's request from the divider's grant, or keeps the request until it has a grant. */
export const handleDividerGrantRequest = (
  state: CoreState,
  from: NodeId,
  request: GrantRequest,
  level: DividedLevel,
  at: number,
): Effect[] => {
  const limit = getLimitAmount(state, request.limit);
  if (limit === undefined) {
    return [];
  }
  const divider = getDivider(state, request.limit, level, at);
  divider.lastRequestAt = at;
  const validMs = remainingValidMs(divider, at);
  if (validMs <= 0) {
    divider.waiting.set(sliceName(from, request.asker, request.process), { from, request });
    recordWaitingDemand(divider.book, from, request, at);
    return requestDividerGrant(state, divider, at);
  }
  const offer = { amount: Math.min(limit, usableAmount(divider, at)), adopting: false, validMs };
  const effects = grantSlice(state, divider.book, from, request, offer, at);
  return isUrgent(divider, at) ? [...effects, ...requestDividerGrant(state, divider, at)] : effects;
};

/** Answers the requests that waited for the divider's grant. */
export const answerWaitingRequests = (
  state: CoreState,
  divider: GrantDivider,
  at: number,
): Effect[] => {
  const waiting = [...divider.waiting.values()];
  divider.waiting.clear();
  rebalanceBook(divider.book, usableAmount(divider, at), at);
  return waiting.flatMap(({ from, request }) =>
    handleDividerGrantRequest(state, from, request, divider.asker as DividedLevel, at),
  );
};

/** Handles the return of a slice to a divider. */
export const handleDividerGrantReturn = (
  state: CoreState,
  from: NodeId,
  returned: GrantReturn,
  at: number,
): Effect[] => {
  const { limit, asked } = returned;
  const divider =
    asked === 'row' ? undefined : state.admission.dividers.get(dividerName(limit, asked));
  if (divider !== undefined) {
    returnSlice(state, divider.book, from, returned, at);
  }
  return [];
};

const refreshDivider = (
  state: CoreState,
  name: string,
  divider: GrantDivider,
  at: number,
): Effect[] => {
  removeLapsedGrant(state, divider, at);
  rebalanceBook(divider.book, usableAmount(divider, at), at);
  const isNeeded =
    at < divider.lastRequestAt + IDLE_AFTER_MS &&
    getLimitAmount(state, divider.limit) !== undefined;
  if (!isNeeded) {
    if (divider.held === undefined && divider.book.slices.size === 0) {
      state.admission.dividers.delete(name);
    }
    return [];
  }
  const isBelowDemand = usableAmount(divider, at) < divider.book.demand;
  return isRenewalDue(divider, isBelowDemand, at) ? requestDividerGrant(state, divider, at) : [];
};

/** Refreshes all grants that this node divides: renews them, rebalances them and removes unused ones. */
export const refreshDividers = (state: CoreState, at: number): Effect[] =>
  [...state.admission.dividers].flatMap(([name, divider]) =>
    refreshDivider(state, name, divider, at),
  );
