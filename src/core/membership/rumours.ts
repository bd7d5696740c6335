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
  MAX_RUMOUR_BYTES,
  RUMOUR_SENDS_FACTOR,
  SENDS_PER_EQUAL_TABLE,
} from './bounds.js';
import { addRumour, recordSends, listRumours } from './rumour-queue.js';
import { getSelf } from './self-identity.js';
import type { Member } from './member.js';
import type { MembershipState } from './state.js';

/** Bytes of an encoded rumour besides the names in it. */
const RUMOUR_FRAME_BYTES = 84;

/** How often each rumour is sent by each node. */
const getSendLimit = (membership: MembershipState): number =>
  Math.ceil(RUMOUR_SENDS_FACTOR * Math.log(membership.members.size + 1));

/** Queues the present record of `node` to be spread, in place of any rumour about it before. */
export const queueRumour = (membership: MembershipState, node: NodeId): void => {
  addRumour(membership.rumours, node);
};

/** A peer has the same table: it has heard what is queued, but for suspicions, which pass. */
export const recordEqualTable = (membership: MembershipState): void => {
  if (membership.rumours.sent.size === 0) {
    return;
  }
  const sends = getSendLimit(membership);
  for (const node of [...listRumours(membership.rumours)]) {
    if (membership.members.get(node)?.state !== 'suspect') {
      recordSends(membership.rumours, node, SENDS_PER_EQUAL_TABLE, sends);
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
const listReceiverUpdate = (membership: MembershipState, receiver: NodeId | undefined) => {
  const member = receiver === undefined ? undefined : membership.members.get(receiver);
  if (member === undefined || member.state === 'alive') {
    return [];
  }
  return [{ identity: member.identity, state: member.state }];
};

const selectUpdates = (
  membership: MembershipState,
  receiver: NodeId | undefined,
): MemberUpdate[] => {
  const updates: MemberUpdate[] = listReceiverUpdate(membership, receiver);
  const sends = getSendLimit(membership);
  const chosen: NodeId[] = [];
  let bytes = updates.reduce((sum, update) => sum + estimateRumourBytes(update.identity), 0);
  for (const node of listRumours(membership.rumours)) {
    const update = node === receiver ? undefined : describeMember(membership, node);
    if (update === undefined) {
      continue;
    }
    bytes += estimateRumourBytes(update.identity);
    if (bytes > MAX_RUMOUR_BYTES) {
      break;
    }
    updates.push(update);
    chosen.push(node);
  }
  for (const node of chosen) {
    recordSends(membership.rumours, node, 1, sends);
  }
  return updates;
};

const selectLeavingReplicas = (membership: MembershipState, at: number): LeavingReplica[] => {
  const selected: LeavingReplica[] = [];
  const sends = getSendLimit(membership);
  for (const replica of membership.leavingToSpread) {
    if (selected.length >= LEAVING_PER_MESSAGE) {
      break;
    }
    const rumour = membership.leavingReplicas.get(replica);
    membership.leavingToSpread.delete(replica);
    if (rumour === undefined || rumour.until <= at) {
      continue;
    }
    selected.push({ replica, remainingMs: Math.round(rumour.until - at) });
    rumour.sent += 1;
  }
  for (const { replica } of selected) {
    const rumour = membership.leavingReplicas.get(replica);
    if (rumour !== undefined && rumour.sent < sends) {
      membership.leavingToSpread.add(replica);
    }
  }
  return selected;
};

/** True while there is anything left to spread. */
export const hasRumours = (membership: MembershipState): boolean =>
  membership.rumours.sent.size > 0 || membership.leavingToSpread.size > 0;

/** Puts the record of `member` first, so that the receiver is sure to hear of it. */
export const prependUpdate = (piggyback: Piggyback, member: Member): Piggyback => ({
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
export const createPiggyback = (
  state: CoreState,
  at: number,
  receiver: NodeId | undefined,
): Piggyback => {
  const { membership } = state;
  const self = getSelf(state);
  const updates = selectUpdates(membership, receiver);
  const leaving = selectLeavingReplicas(membership, at);
  const base = { sender: self.identity, updates };
  const piggyback = leaving.length === 0 ? base : { ...base, leaving };
  return self.state === 'alive' ? piggyback : prependUpdate(piggyback, self);
};
