/** Changes records of the member table and all data derived from them; nothing else does. */
import type { MemberState } from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import { toggleMemberHash } from './member-table.js';
import { updateRing } from './ring.js';
import { removeRumour } from './rumour-queue.js';
import { queueRumour } from './rumours.js';
import type { Member } from './member.js';
import { addressKey, createMember, type MembershipState } from './state.js';

const isLive = (state: MemberState | undefined): boolean =>
  state === 'alive' || state === 'suspect';

const removeAddress = (membership: MembershipState, identity: NodeIdentity): void => {
  const key = addressKey(identity.address);
  if (membership.addresses.get(key) === identity.node) {
    membership.addresses.delete(key);
  }
};

const hasMoved = (before: NodeIdentity, after: NodeIdentity): boolean =>
  addressKey(before.address) !== addressKey(after.address) || before.zone !== after.zone;

const addMember = (
  membership: MembershipState,
  identity: NodeIdentity,
  state: MemberState,
  at: number,
): Member => {
  const member = createMember(identity, state, at);
  membership.members.set(identity.node, member);
  return member;
};

/** Spreads rumours of leaving replicas again, so that a process that has just started gets them. */
const respreadLeavingReplicas = (membership: MembershipState): void => {
  for (const [replica, rumour] of membership.leavingReplicas) {
    rumour.sent = 0;
    membership.leavingToSpread.add(replica);
  }
};

const changeView = (membership: MembershipState, member: Member): void => {
  const isRingCurrent = membership.ringVersion === membership.viewVersion;
  membership.viewVersion += 1;
  if (isRingCurrent) {
    updateRing(membership, member, isLive(member.state));
  }
};

/**
 * Writes the record of a member and queues a rumour about it. Increments the version of the view
 * when the set of live members, or the address or zone of one, has changed.
 */
export const writeMember = (
  membership: MembershipState,
  identity: NodeIdentity,
  state: MemberState,
  at: number,
): Member => {
  const held = membership.members.get(identity.node);
  const wasLive = isLive(held?.state);
  const moved = held !== undefined && hasMoved(held.identity, identity);
  if (held !== undefined) {
    toggleMemberHash(membership.buckets, held);
    removeAddress(membership, held.identity);
  }
  if (isLive(state) && held?.identity.incarnation !== identity.incarnation) {
    respreadLeavingReplicas(membership);
  }
  const member = held ?? addMember(membership, identity, state, at);
  member.identity = identity;
  if (member.state !== state) {
    member.state = state;
    member.since = at;
  }
  toggleMemberHash(membership.buckets, member);
  if (state === 'dead') {
    membership.dead.add(identity.node);
  } else {
    membership.dead.delete(identity.node);
    membership.addresses.set(addressKey(identity.address), identity.node);
  }
  if (wasLive !== isLive(state) || (wasLive && moved)) {
    changeView(membership, member);
  }
  membership.changedAt = at;
  membership.changesSincePull += 1;
  queueRumour(membership, identity.node);
  return member;
};

/** Removes a dead member from the table. */
export const removeMember = (membership: MembershipState, member: Member): void => {
  membership.members.delete(member.identity.node);
  membership.dead.delete(member.identity.node);
  removeRumour(membership.rumours, member.identity.node);
  membership.suspicions.delete(member.identity.node);
  membership.disputed.delete(member.identity.node);
};
