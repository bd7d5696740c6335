/** The grantee's side: asks a holder for a slice, takes the answer, and hands back what it leaves. */
import type { Grant } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { sendGrantMessage } from './send-grant-message.js';
import { findAsked } from './find-holder.js';
import {
  GRANT_TIMEOUT_MS,
  RENEW_MS,
  RENEW_SHARE,
  RENEW_URGENT_MS,
  URGENT_GROWTH,
} from './limit-timing.js';
import { measureDemand, updateDemand, usableAmount } from './limit-use.js';
import type { Grantee, GrantHolder, HeldGrant, LimitUse } from './state.js';

/** What a row's holder gave, and may give again; a divider gives nothing on a grantee's word. */
const adoptableAmount = (grantee: Grantee, asked: GrantHolder, at: number): number =>
  asked.level === 'row' && grantee.held?.holder.level === 'row' ? usableAmount(grantee, at) : 0;

/** Asks for a slice; an earlier request is given up, its answer no longer taken. */
export const requestGrant = (
  state: CoreState,
  grantee: Grantee,
  demand: number,
  used: number,
  at: number,
): Effect[] => {
  const { limit, asker } = grantee;
  const holder = findAsked(state, limit.row, asker);
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

/** Asks for a slice for this node's own queries. */
export const requestOwnGrant = (state: CoreState, use: LimitUse, at: number): Effect[] =>
  requestGrant(state, use, updateDemand(use, at), use.used, at);

/** Hands back all that `holder` gave to a grantee which uses it no longer. */
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

/** Gives up the grant of a node that stops: from now on it admits nothing. */
export const returnOwnGrant = (state: CoreState, use: LimitUse, at: number): Effect[] => {
  const holder = use.held?.holder;
  use.held = undefined;
  use.pending = undefined;
  return holder === undefined ? [] : returnGrant(state, use, holder, use.used, at);
};

/** True while the answer to the newest request is still to be expected. */
export const isAwaitingAnswer = ({ pending }: Grantee, at: number): boolean =>
  pending !== undefined && at < pending.sentAt + GRANT_TIMEOUT_MS;

/** True when a grant is to be asked for anew: soon while it is short of the demand, later otherwise. */
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

/** Drops a grant that has lapsed. */
export const removeLapsedGrant = (state: CoreState, grantee: Grantee, at: number): void => {
  if (grantee.held !== undefined && at >= grantee.held.expiresAt) {
    grantee.held = undefined;
    state.counters.grants_lapsed += 1;
  }
};

/** True when the node wants clearly more than it told the holder last. */
const hasGrown = (use: LimitUse, at: number): boolean =>
  use.held === undefined || measureDemand(use, at) > use.demand * URGENT_GROWTH;

/** Asks ahead of time because a query was refused, if the demand has grown. */
export const requestUrgentGrant = (state: CoreState, use: LimitUse, at: number): Effect[] => {
  const isTooSoon = use.held !== undefined && at < use.requestedAt + RENEW_URGENT_MS;
  return isTooSoon || isAwaitingAnswer(use, at) || !hasGrown(use, at)
    ? []
    : requestOwnGrant(state, use, at);
};

/**
 * The amount a grant brings. One that a new holder gives again on this node's word counts only as far
 * as the node still holds it: what has lapsed since may be another node's by now.
 */
const effectiveAmount = (grant: Grant, grantee: Grantee, at: number): number =>
  grant.adopted ? Math.min(grant.amount, usableAmount(grantee, at)) : grant.amount;

const isSameHolder = (one: GrantHolder, other: GrantHolder): boolean =>
  one.node === other.node && one.level === other.level;

/** A grantee that has changed its holder keeps a larger grant of the earlier one until that lapses. */
const isHeldGrantLarger = (grantee: Grantee, grant: HeldGrant, at: number): boolean =>
  grantee.held !== undefined &&
  !isSameHolder(grantee.held.holder, grant.holder) &&
  grant.amount < usableAmount(grantee, at);

/**
 * Takes a grant if it answers the newest request; returns it, and undefined for one not taken. What an
 * earlier holder gave is handed back with it.
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
