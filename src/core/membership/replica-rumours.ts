/**
 * Back ends that are leaving, as nodes tell each other. A sign seen by one node (a refusal, a
 * header, a status object) reaches all others with the rumours of membership, so that they send no
 * new work although the platform's list still lags. A rumour lapses by itself: a back end that
 * returns under its old name is used again.
 */
import type { LeavingReplica } from '../../protocol/membership-messages.js';
import type { Effect } from '../effect.js';
import type { ReplicaId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { LEAVING_VALIDITY_MS, MAX_LEAVING_REPLICAS, LEAVING_RENEWAL_MS } from './bounds.js';
import { armGossip } from './gossip.js';
import type { MembershipState } from './state.js';

const removeExpired = (membership: MembershipState, at: number): void => {
  for (const [replica, rumour] of membership.leavingReplicas) {
    if (rumour.until <= at) {
      membership.leavingReplicas.delete(replica);
      membership.leavingToSpread.delete(replica);
    }
  }
};

const ensureCapacity = (membership: MembershipState, at: number): void => {
  if (membership.leavingReplicas.size < MAX_LEAVING_REPLICAS) {
    return;
  }
  removeExpired(membership, at);
  const oldest = membership.leavingReplicas.keys().next();
  if (membership.leavingReplicas.size >= MAX_LEAVING_REPLICAS && !oldest.done) {
    membership.leavingReplicas.delete(oldest.value);
    membership.leavingToSpread.delete(oldest.value);
  }
};

const recordLeavingUntil = (
  state: CoreState,
  replica: ReplicaId,
  until: number,
  at: number,
): boolean => {
  const { membership } = state;
  const known = membership.leavingReplicas.get(replica);
  const addsLittle = known !== undefined && until - Math.max(known.until, at) < LEAVING_RENEWAL_MS;
  if (until <= at || addsLittle) {
    return false;
  }
  ensureCapacity(membership, at);
  membership.leavingReplicas.set(replica, { until, sent: 0 });
  membership.leavingToSpread.add(replica);
  state.counters.replicas_noted_leaving += 1;
  return true;
};

/** How long `replica` is still held to be leaving, in milliseconds from `at`; 0 when it is not. */
export const remainingLeavingMs = (state: CoreState, replica: ReplicaId, at: number): number => {
  const { leavingReplicas } = state.membership;
  const rumour = leavingReplicas.size > 0 ? leavingReplicas.get(replica) : undefined;
  return rumour === undefined ? 0 : Math.max(0, rumour.until - at);
};

/** True when a sign was seen here or by a peer that `replica` takes no new work; `at` is now. */
export const isReplicaLeaving = (state: CoreState, replica: ReplicaId, at: number): boolean =>
  remainingLeavingMs(state, replica, at) > 0;

/**
 * Notes a sign that `replica` is leaving, whichever it is, and spreads it to all nodes. Cheap to
 * call for each sign: those that add nothing are dropped. The effects must be carried out.
 *
 * @param validityMs - how long the sign holds; less when it is a feeder's knowledge of an earlier one
 */
export const recordReplicaLeaving = (
  state: CoreState,
  replica: ReplicaId,
  at: number,
  validityMs = LEAVING_VALIDITY_MS,
): Effect[] => {
  recordLeavingUntil(state, replica, at + Math.min(validityMs, LEAVING_VALIDITY_MS), at);
  return armGossip(state, at);
};

/** Takes rumours about leaving back ends from a peer. */
export const applyReplicaRumours = (
  state: CoreState,
  rumours: readonly LeavingReplica[],
  at: number,
): void => {
  for (const { replica, remainingMs } of rumours) {
    const bounded = Math.min(remainingMs, LEAVING_VALIDITY_MS);
    recordLeavingUntil(state, replica, at + bounded, at);
  }
};
