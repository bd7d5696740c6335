/**
 * The keeper's side of claims: grants a key to the first request that claims it, and keeps the claim.
 *
 * A keeper grants a claim only if it knows of all claims that its node can have granted. This is so under
 * a roster that names this process. A restarted process lacks earlier claims, so it grants only keys
 * created after its start, by a margin for the clocks of the previous process and of this one.
 */
import type { ClaimReply, ClaimRelease, ClaimRequest } from '../../protocol/once-messages.js';
import { type IdempotencyKey, parseIdempotencyKey } from '../../protocol/idempotency-key.js';
import type { KeeperRoster } from '../../catalog/keeper-roster.js';
import type { PartnerId, RequestId } from '../identifiers.js';
import { chooseKeepers } from '../keepers/choose-keepers.js';
import {
  findRoster,
  isAfterStart,
  isNamedProcess,
  periodOf,
  wallTimeAt,
} from '../keepers/find-roster.js';
import type { CoreState } from '../state.js';
import { CLAIM_RETENTION_MS, KEY_LEAD_MS, MAX_KEPT_CLAIMS } from './claim-timing.js';

/** Returns the name of a key, unique over all partners. */
export const claimSubject = (partner: PartnerId, idempotencyKey: string): string =>
  `${partner}|${idempotencyKey}`;

/** Removes the claims of periods whose keys no node accepts any more, and closes these periods. */
export const removeExpiredClaims = (state: CoreState, at: number): void => {
  const { once } = state;
  const lastClosedPeriod = periodOf(wallTimeAt(state, at) - CLAIM_RETENTION_MS) - 1;
  once.closedThrough = Math.max(once.closedThrough, lastClosedPeriod);
  for (const [period, claims] of once.kept) {
    if (period <= once.closedThrough) {
      once.keptCount -= claims.size;
      once.kept.delete(period);
    }
  }
};

const isKeeper = (
  state: CoreState,
  roster: KeeperRoster,
  partner: PartnerId,
  key: IdempotencyKey,
): boolean =>
  chooseKeepers(roster, partner, claimSubject(partner, key.text)).nodes.includes(state.self.node);

/** Whether this process knows of every claim on the key that its node can have granted. */
const knowsAllClaims = (state: CoreState, roster: KeeperRoster, key: IdempotencyKey): boolean =>
  isNamedProcess(state, roster) || isAfterStart(state, key.createdAt, KEY_LEAD_MS);

const mayGrantClaim = (
  state: CoreState,
  key: IdempotencyKey,
  partner: PartnerId,
  at: number,
): boolean => {
  const period = periodOf(key.createdAt);
  const roster = findRoster(state, period);
  const isAhead = key.createdAt > wallTimeAt(state, at) + KEY_LEAD_MS;
  if (roster === undefined || isAhead || period <= state.once.closedThrough) {
    return false;
  }
  return isKeeper(state, roster, partner, key) && knowsAllClaims(state, roster, key);
};

const getClaimsOfPeriod = (state: CoreState, period: number): Map<string, RequestId> => {
  const known = state.once.kept.get(period);
  if (known !== undefined) {
    return known;
  }
  const claims = new Map<string, RequestId>();
  state.once.kept.set(period, claims);
  return claims;
};

const decideClaim = (
  state: CoreState,
  key: IdempotencyKey,
  message: ClaimRequest,
  at: number,
): ClaimReply['verdict'] => {
  const period = periodOf(key.createdAt);
  const subject = claimSubject(message.partner, key.text);
  const holder = state.once.kept.get(period)?.get(subject);
  if (holder !== undefined) {
    return holder === message.request ? 'granted' : 'already-claimed';
  }
  if (!mayGrantClaim(state, key, message.partner, at) || state.once.keptCount >= MAX_KEPT_CLAIMS) {
    return 'owner-not-ready';
  }
  getClaimsOfPeriod(state, period).set(subject, message.request);
  state.once.keptCount += 1;
  return 'granted';
};

/** Handles the request of a claim: decides on it and keeps the claim if granted. */
export const handleClaimRequest = (
  state: CoreState,
  message: ClaimRequest,
  at: number,
): ClaimReply => {
  const verdict = parseIdempotencyKey(message.idempotencyKey)
    .map((key) => decideClaim(state, key, message, at))
    .orDefault('owner-not-ready');
  return { type: 'claim-reply', request: message.request, verdict };
};

/** Releases the claim of a request that did not run and never will; ignores claims of other requests. */
export const releaseKeptClaim = (state: CoreState, message: ClaimRelease): void => {
  parseIdempotencyKey(message.idempotencyKey).ifRight((key) => {
    const claims = state.once.kept.get(periodOf(key.createdAt));
    const subject = claimSubject(message.partner, key.text);
    if (claims?.get(subject) === message.request) {
      claims.delete(subject);
      state.once.keptCount -= 1;
    }
  });
};
