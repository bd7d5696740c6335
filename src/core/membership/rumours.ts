/**
 * Rumours waiting to be spread. Each is sent a bounded number of times, which grows with the
 * logarithm of the number of members, and rides on whatever datagram goes out.
 */
import type {
  LeavingReplica,
  MemberUpdate,
  Piggyback,
} from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import {
  LEAVING_PER_MESSAGE,
  RUMOUR_BYTES,
  RUMOUR_SENDS_FACTOR,
  SENDS_OF_AGREEMENT,
} from './bounds.js';
import { addRumour, countSent, listRumours } from './rumour-queue.js';
import { getSelf } from './self-identity.js';
import type { Member } from './member.js';
import type { MembershipState } from './state.js';

/** Bytes of an encoded rumour besides the names in it. */
const RUMOUR_FRAME_BYTES = 84;

/** How often each rumour is sent by each node. */
const countSends = (membership: MembershipState): number =>
  Math.ceil(RUMOUR_SENDS_FACTOR * Math.log(membership.members.size + 1));

/** Queues the present record of `node` to be spread, in place of any rumour about it before. */
export const queueRumour = (membership: MembershipState, node: NodeId): void => {
  addRumour(membership.rumours, node);
};

/** A peer has the same table: it has heard what is queued, but for suspicions, which pass. */
export const noteAgreement = (membership: MembershipState): void => {
  if (membership.rumours.sent.size === 0) {
    return;
  }
  const sends = countSends(membership);
  for (const node of [...listRumours(membership.rumours)]) {
    if (membership.members.get(node)?.state !== 'suspect') {
      countSent(membership.rumours, node, SENDS_OF_AGREEMENT, sends);
    }
  }
};

/** Bytes, at most, that a rumour takes in a datagram. */
const estimateRumourBytes = (identity: NodeIdentity): number =>
  RUMOUR_FRAME_BYTES +
  identity.node.length +
  identity.zone.length +
  identity.region.length +
  identity.address.host.length;

const describeMember = (membership: MembershipState, node: NodeId): MemberUpdate | undefined => {
  const member = membership.members.get(node);
  return member === undefined ? undefined : { identity: member.identity, state: member.state };
};

/** What the receiver must hear first: that it is held to be other than alive. */
const listAboutReceiver = (membership: MembershipState, receiver: NodeId | undefined) => {
  const member = receiver === undefined ? undefined : membership.members.get(receiver);
  if (member === undefined || member.state === 'alive') {
    return [];
  }
  return [{ identity: member.identity, state: member.state }];
};

const takeUpdates = (membership: MembershipState, receiver: NodeId | undefined): MemberUpdate[] => {
  const updates: MemberUpdate[] = listAboutReceiver(membership, receiver);
  const sends = countSends(membership);
  const chosen: NodeId[] = [];
  let bytes = updates.reduce((sum, update) => sum + estimateRumourBytes(update.identity), 0);
  for (const node of listRumours(membership.rumours)) {
    const update = node === receiver ? undefined : describeMember(membership, node);
    if (update === undefined) {
      continue;
    }
    bytes += estimateRumourBytes(update.identity);
    if (bytes > RUMOUR_BYTES) {
      break;
    }
    updates.push(update);
    chosen.push(node);
  }
  for (const node of chosen) {
    countSent(membership.rumours, node, 1, sends);
  }
  return updates;
};

const takeLeaving = (membership: MembershipState, at: number): LeavingReplica[] => {
  const taken: LeavingReplica[] = [];
  const sends = countSends(membership);
  for (const replica of membership.leavingToSpread) {
    if (taken.length >= LEAVING_PER_MESSAGE) {
      break;
    }
    const rumour = membership.leavingReplicas.get(replica);
    membership.leavingToSpread.delete(replica);
    if (rumour === undefined || rumour.until <= at) {
      continue;
    }
    taken.push({ replica, remainingMs: Math.round(rumour.until - at) });
    rumour.sent += 1;
  }
  for (const { replica } of taken) {
    const rumour = membership.leavingReplicas.get(replica);
    if (rumour !== undefined && rumour.sent < sends) {
      membership.leavingToSpread.add(replica);
    }
  }
  return taken;
};

/** True while there is anything left to spread. */
export const hasRumours = (membership: MembershipState): boolean =>
  membership.rumours.sent.size > 0 || membership.leavingToSpread.size > 0;

/** Puts the record of `member` first, so that the receiver is sure to hear of it. */
export const putFirst = (piggyback: Piggyback, member: Member): Piggyback => ({
  ...piggyback,
  updates: [
    { identity: member.identity, state: member.state },
    ...piggyback.updates.filter((update) => update.identity.node !== member.identity.node),
  ],
});

/**
 * Takes the rumours that ride on one datagram to `receiver` (absent when it is not known). A node
 * that is leaving says so first in each.
 */
export const takePiggyback = (
  state: CoreState,
  at: number,
  receiver: NodeId | undefined,
): Piggyback => {
  const { membership } = state;
  const self = getSelf(state);
  const updates = takeUpdates(membership, receiver);
  const leaving = takeLeaving(membership, at);
  const base = { sender: self.identity, updates };
  const piggyback = leaving.length === 0 ? base : { ...base, leaving };
  return self.state === 'alive' ? piggyback : putFirst(piggyback, self);
};
