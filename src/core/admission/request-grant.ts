/** The grantee's side: requests slices from a holder, applies its grants and returns unused ones. */
import type { Grant } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { sendGrantMessage } from './send-grant-message.js';
import { findGrantHolder } from './find-holder.js';
import {
  GRANT_TIMEOUT_MS,
  RENEW_MS,
  RENEW_SHARE,
  RENEW_URGENT_MS,
  URGENT_GROWTH,
} from './limit-timing.js';
import { measureDemand, updateDemand, usableAmount } from './limit-use.js';
import type { Grantee, GrantHolder, HeldGrant, LimitUse } from './state.js';

/** Returns the amount that a row's holder may adopt from this grantee's report; dividers adopt nothing. */
const adoptableAmount = (grantee: Grantee, asked: GrantHolder, at: number): number =>
  asked.level === 'row' && grantee.held?.holder.level === 'row' ? usableAmount(grantee, at) : 0;

/** Requests a slice; it replaces an earlier request, whose answer is then ignored. */
export const requestGrant = (
  state: CoreState,
  grantee: Grantee,
  demand: number,
  used: number,
  at: number,
): Effect[] => {
  const { limit, asker } = grantee;
  const holder = findGrantHolder(state, limit.row, asker);
  state.admission.sequence += 1;
  const { sequence } = state.admission;
  grantee.pending = { holder, sequence, sentAt: at };
  grantee.demand = demand;
  grantee.requestedAt = at;
  return sendGrantMessage(
    state,
    holder.node,
    {
      type: 'grant-request',
      limit,
      asker,
      asked: holder.level,
      process: state.keepers.startIncarnation,
      demand,
      used,
      holds: adoptableAmount(grantee, holder, at),
      heldSequence: grantee.held?.sequence ?? 0,
      sequence,
    },
    at,
  );
};

/** Requests a slice for this node's own queries. */
export const requestOwnGrant = (state: CoreState, use: LimitUse, at: number): Effect[] =>
  requestGrant(state, use, updateDemand(use, at), use.used, at);

/** Returns to `holder` all that it granted, once the grantee no longer uses it. */
const returnGrant = (
  state: CoreState,
  { limit, asker }: Grantee,
  holder: GrantHolder,
  used: number,
  at: number,
): Effect[] => {
  state.admission.sequence += 1;
  return sendGrantMessage(
    state,
    holder.node,
    {
      type: 'grant-return',
      limit,
      asker,
      asked: holder.level,
      process: state.keepers.startIncarnation,
      used,
      sequence: state.admission.sequence,
    },
    at,
  );
};

/** Returns the grant of a stopping node, which admits no query from now on. */
export const returnOwnGrant = (state: CoreState, use: LimitUse, at: number): Effect[] => {
  const holder = use.held?.holder;
  use.held = undefined;
  use.pending = undefined;
  return holder === undefined ? [] : returnGrant(state, use, holder, use.used, at);
};

/** Whether the newest request is pending and has not timed out. */
export const isAwaitingAnswer = ({ pending }: Grantee, at: number): boolean =>
  pending !== undefined && at < pending.sentAt + GRANT_TIMEOUT_MS;

/** Whether a grant is due for renewal; a grant below the demand is renewed sooner. */
export const isRenewalDue = (
  { held, requestedAt }: Grantee,
  isBelowDemand: boolean,
  at: number,
): boolean => {
  if (held === undefined) {
    return true;
  }
  const steadyMs = held.validMs * RENEW_SHARE;
  return at >= requestedAt + (isBelowDemand ? Math.min(RENEW_MS, steadyMs) : steadyMs);
};

/** Removes the grant if it has lapsed, and counts it. */
export const removeLapsedGrant = (state: CoreState, grantee: Grantee, at: number): void => {
  if (grantee.held !== undefined && at >= grantee.held.expiresAt) {
    grantee.held = undefined;
    state.counters.grants_lapsed += 1;
  }
};

/** Whether there is no grant or the demand clearly exceeds the last reported demand. */
const hasGrown = (use: LimitUse, at: number): boolean =>
  use.held === undefined || measureDemand(use, at) > use.demand * URGENT_GROWTH;

/** Requests a grant early because a query was refused, if the demand has grown. */
export const requestUrgentGrant = (state: CoreState, use: LimitUse, at: number): Effect[] => {
  const isTooSoon = use.held !== undefined && at < use.requestedAt + RENEW_URGENT_MS;
  return isTooSoon || isAwaitingAnswer(use, at) || !hasGrown(use, at)
    ? []
    : requestOwnGrant(state, use, at);
};

/**
 * Returns the usable amount of a grant. A grant that a new holder adopted from this node's report is
 * usable only as far as the node still holds the amount; a lapsed amount may belong to another node.
 */
const effectiveAmount = (grant: Grant, grantee: Grantee, at: number): number =>
  grant.adopted ? Math.min(grant.amount, usableAmount(grantee, at)) : grant.amount;

const isSameHolder = (one: GrantHolder, other: GrantHolder): boolean =>
  one.node === other.node && one.level === other.level;

/** Whether the grantee keeps a larger grant of its previous holder until that grant lapses. */
const isHeldGrantLarger = (grantee: Grantee, grant: HeldGrant, at: number): boolean =>
  grantee.held !== undefined &&
  !isSameHolder(grantee.held.holder, grant.holder) &&
  grant.amount < usableAmount(grantee, at);

/**
 * Applies a grant if it answers the newest request, and ignores it otherwise. The effects return the
 * grant of a previous holder.
 */
export const applyGrant = (
  state: CoreState,
  grantee: Grantee,
  used: number,
  from: GrantHolder['node'],
  grant: Grant,
  at: number,
): Effect[] => {
  const { pending, held } = grantee;
  if (pending?.sequence !== grant.sequence || pending.holder.node !== from) {
    return [];
  }
  grantee.pending = undefined;
  const newGrant: HeldGrant = {
    amount: effectiveAmount(grant, grantee, at),
    sequence: grant.sequence,
    expiresAt: pending.sentAt + grant.validMs,
    validMs: grant.validMs,
    holder: pending.holder,
  };
  if (isHeldGrantLarger(grantee, newGrant, at)) {
    return [];
  }
  grantee.held = newGrant;
  return held === undefined || isSameHolder(held.holder, newGrant.holder)
    ? []
    : returnGrant(state, grantee, held.holder, used, at);
};
