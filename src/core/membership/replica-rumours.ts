/**
 * Rumours of leaving replicas. A sign seen by one node (a refusal, a header, a status object) is
 * spread with the membership rumours, so that no node sends new work although the platform's list
 * lags behind. A rumour expires, so that a replica that returns under its old name is used again.
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

/**
 * Returns how long `replica` still counts as leaving, in milliseconds from `at`; 0 if it does not.
 */
export const remainingLeavingMs = (state: CoreState, replica: ReplicaId, at: number): number => {
  const { leavingReplicas } = state.membership;
  const rumour = leavingReplicas.size > 0 ? leavingReplicas.get(replica) : undefined;
  return rumour === undefined ? 0 : Math.max(0, rumour.until - at);
};

/** Whether this node or a peer saw a sign that `replica` accepts no new work; `at` is now. */
export const isReplicaLeaving = (state: CoreState, replica: ReplicaId, at: number): boolean =>
  remainingLeavingMs(state, replica, at) > 0;

/**
 * Records a sign of any kind that `replica` is leaving, and spreads it to all nodes. Cheap to call
 * for each sign, because signs that add nothing are dropped. The effects must be carried out.
 *
 * @param validityMs - how long the sign is valid, in milliseconds; less if a feeder reports an
 * earlier sign
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

/** Applies rumours of leaving replicas from a peer. */
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
