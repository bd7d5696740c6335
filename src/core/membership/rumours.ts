/**
 * Rumours to be spread, piggybacked on all outgoing datagrams. Each is sent a bounded number of
 * times, which grows with the logarithm of the number of members.
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

/** Size of an encoded rumour without the names in it, in bytes. */
const RUMOUR_FRAME_BYTES = 84;

/** Returns how many times each node sends each rumour. */
const getSendLimit = (membership: MembershipState): number =>
  Math.ceil(RUMOUR_SENDS_FACTOR * Math.log(membership.members.size + 1));

/** Queues the current record of `node` to be spread, in place of any earlier rumour about it. */
export const queueRumour = (membership: MembershipState, node: NodeId): void => {
  addRumour(membership.rumours, node);
};

/** Counts the queued rumours as received by a peer with an equal table, except suspicions. */
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

/** Estimates the maximum size of a rumour in a datagram, in bytes. */
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

/** Returns the update about the receiver, sent first, if this node does not hold it alive. */
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

/** True while there are rumours to spread. */
export const hasRumours = (membership: MembershipState): boolean =>
  membership.rumours.sent.size > 0 || membership.leavingToSpread.size > 0;

/** Puts the record of `member` first, so that it is certainly part of the datagram. */
export const prependUpdate = (piggyback: Piggyback, member: Member): Piggyback => ({
  ...piggyback,
  updates: [
    { identity: member.identity, state: member.state },
    ...piggyback.updates.filter((update) => update.identity.node !== member.identity.node),
  ],
});

/**
 * Selects the rumours for one datagram to `receiver` (undefined when unknown) and counts them as
 * sent. A node that is not alive, for example leaving, puts its own record first.
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
