/**
 * The coordinator's side of claims. A claim is the permission to run a request that is not safe to
 * repeat.
 *
 * A key has a fixed set of keepers, the same at every node, independent of membership views. A claim is
 * granted once a majority of the keepers has granted it. Only this process uses it, for one request.
 */
import type { ClaimReply, OnceMessage } from '../../protocol/once-messages.js';
import { type IdempotencyKey, parseIdempotencyKey } from '../../protocol/idempotency-key.js';
import type { Effect } from '../effect.js';
import type { NodeId, PartnerId, RequestId } from '../identifiers.js';
import { chooseKeepers } from '../keepers/choose-keepers.js';
import { findRoster, periodOf, wallTimeAt } from '../keepers/find-roster.js';
import { handleClaimVerdict } from '../query/handle-claim-verdict.js';
import type { CoreState } from '../state.js';
import { CLAIM_RESEND_MS, CLAIM_RESENDS, KEY_LEAD_MS, KEY_LIFETIME_MS } from './claim-timing.js';
import { claimSubject, handleClaimRequest, releaseKeptClaim } from './keep-claim.js';
import type { OwnClaim } from './state.js';

/** The decision on a claim. Only `granted` lets the request run. */
export type ClaimVerdict = 'granted' | 'already-claimed' | 'owner-not-ready' | 'key-invalid';

const resendTimer = (request: RequestId) => ({ purpose: 'once-resend', subject: request }) as const;

/** Sends a message about a claim; handles it directly if the recipient is this node. */
const sendOnceMessage = (
  state: CoreState,
  to: NodeId,
  message: OnceMessage,
  at: number,
): Effect[] => {
  if (to === state.self.node) {
    return handleOnceMessage(state, to, message, at);
  }
  const member = state.membership.members.get(to);
  return member === undefined
    ? []
    : [{ type: 'send-link', to, address: member.identity.address, message }];
};

/** Handles a message about claims from node `from`, which may be this node. */
export const handleOnceMessage = (
  state: CoreState,
  from: NodeId,
  message: OnceMessage,
  at: number,
): Effect[] => {
  switch (message.type) {
    case 'claim-request':
      return sendOnceMessage(state, from, handleClaimRequest(state, message, at), at);
    case 'claim-reply':
      return handleClaimReply(state, from, message, at);
    case 'claim-release':
      releaseKeptClaim(state, message);
      return [];
  }
};

const sendClaimRequests = (state: CoreState, claim: OwnClaim, at: number): Effect[] => {
  const { partner, idempotencyKey, request } = claim;
  return claim.keepers.nodes
    .filter((keeper) => !claim.granted.has(keeper) && !claim.refused.has(keeper))
    .flatMap((keeper) =>
      claim.phase === 'requested'
        ? sendOnceMessage(
            state,
            keeper,
            { type: 'claim-request', partner, idempotencyKey, request },
            at,
          )
        : [],
    );
};

const releaseClaim = (state: CoreState, claim: OwnClaim, at: number): Effect[] => {
  const { partner, idempotencyKey, request } = claim;
  return claim.keepers.nodes.flatMap((keeper) =>
    sendOnceMessage(state, keeper, { type: 'claim-release', partner, idempotencyKey, request }, at),
  );
};

/** Refuses a request, which then never runs, and releases the grants of its claim. */
const refuseClaim = (state: CoreState, claim: OwnClaim, at: number): Effect[] => {
  const verdict = claim.refused.size > 0 ? 'already-claimed' : 'owner-not-ready';
  state.once.ownClaims.delete(claim.request);
  state.counters.claims_refused += 1;
  return [
    { type: 'cancel-timer', key: resendTimer(claim.request) },
    ...releaseClaim(state, claim, at),
    ...handleClaimVerdict(state, claim.request, verdict, at),
  ];
};

const grantClaim = (state: CoreState, claim: OwnClaim, at: number): Effect[] => {
  claim.phase = 'granted';
  state.counters.claims_granted += 1;
  return [
    { type: 'cancel-timer', key: resendTimer(claim.request) },
    ...handleClaimVerdict(state, claim.request, 'granted', at),
  ];
};

const handleClaimReply = (
  state: CoreState,
  from: NodeId,
  { request, verdict }: ClaimReply,
  at: number,
): Effect[] => {
  const claim = state.once.ownClaims.get(request);
  const { nodes, majority } = claim?.keepers ?? { nodes: [], majority: 0 };
  if (claim?.phase !== 'requested' || verdict === 'owner-not-ready' || !nodes.includes(from)) {
    return [];
  }
  (verdict === 'granted' ? claim.granted : claim.refused).add(from);
  if (claim.granted.size >= majority) {
    return grantClaim(state, claim, at);
  }
  return claim.refused.size > nodes.length - majority ? refuseClaim(state, claim, at) : [];
};

const isKeyAgeValid = (state: CoreState, key: IdempotencyKey, at: number): boolean => {
  const age = wallTimeAt(state, at) - key.createdAt;
  return age <= KEY_LIFETIME_MS && age >= -KEY_LEAD_MS;
};

const startClaim = (
  state: CoreState,
  request: RequestId,
  partner: PartnerId,
  key: IdempotencyKey,
  at: number,
): Effect[] => {
  const roster = findRoster(state, periodOf(key.createdAt));
  if (roster === undefined) {
    return handleClaimVerdict(state, request, 'owner-not-ready', at);
  }
  const claim: OwnClaim = {
    request,
    partner,
    idempotencyKey: key.text,
    keepers: chooseKeepers(roster, partner, claimSubject(partner, key.text)),
    granted: new Set(),
    refused: new Set(),
    phase: 'requested',
    resends: 0,
  };
  state.once.ownClaims.set(request, claim);
  const timer = { type: 'set-timer', key: resendTimer(request), at: at + CLAIM_RESEND_MS } as const;
  return [timer, ...sendClaimRequests(state, claim, at)];
};

/** Requests the claim of a key; passes the verdict to `handleClaimVerdict` of the query slice. */
export const requestClaim = (
  state: CoreState,
  request: RequestId,
  partner: PartnerId,
  idempotencyKey: string,
  at: number,
): Effect[] => {
  const key = parseIdempotencyKey(idempotencyKey).toMaybe().extract();
  return key === undefined || !isKeyAgeValid(state, key, at)
    ? handleClaimVerdict(state, request, 'key-invalid', at)
    : startClaim(state, request, partner, key, at);
};

/** Requests the claim again from keepers without a reply; refuses it after the last repetition. */
export const resendClaim = (state: CoreState, request: RequestId, at: number): Effect[] => {
  const claim = state.once.ownClaims.get(request);
  if (claim?.phase !== 'requested') {
    return [];
  }
  if (claim.resends >= CLAIM_RESENDS) {
    return refuseClaim(state, claim, at);
  }
  claim.resends += 1;
  return [
    ...sendClaimRequests(state, claim, at),
    { type: 'set-timer', key: resendTimer(request), at: at + CLAIM_RESEND_MS },
  ];
};

/**
 * Ends the claim of a request that has its outcome. Without a run, the claim is released and its key
 * can be used again.
 *
 * @param ran - must be true unless it is proven that nothing of the request has run or can still run
 */
export const endClaim = (
  state: CoreState,
  request: RequestId,
  ran: boolean,
  at: number,
): Effect[] => {
  const claim = state.once.ownClaims.get(request);
  if (claim === undefined) {
    return [];
  }
  state.once.ownClaims.delete(request);
  const cancelled = { type: 'cancel-timer', key: resendTimer(request) } as const;
  return ran ? [cancelled] : [cancelled, ...releaseClaim(state, claim, at)];
};
