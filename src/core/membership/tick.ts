/** The periodic tick of membership: probes, and pings to members that may be reachable again. */
import type { PeerAddress } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import {
  DEAD_PINGS_PER_SECOND,
  DISPUTED_PER_TICK,
  DEAD_RETENTION_MS,
  LISTED_ADDRESSES_PER_TICK,
  PROBE_INTERVAL_MS,
} from './bounds.js';
import { removeMember } from './change-member.js';
import { pingAddress, pingMember, probeMember } from './probes.js';
import { findSuccessor, listRing } from './ring.js';
import type { Member } from './member.js';
import { addressKey, type MembershipState } from './state.js';

const TICK_TIMER = { purpose: 'membership-probe', subject: '' } as const;
const MS_PER_SECOND = 1_000;

/** Sets the timer of the next tick. */
export const armTick = (membership: MembershipState, dueAt: number): Effect => {
  membership.tickDueAt = dueAt;
  return { type: 'set-timer', key: TICK_TIMER, at: dueAt };
};

const shuffleMembers = (state: CoreState): NodeId[] => {
  const nodes: NodeId[] = [];
  for (const member of state.membership.members.values()) {
    if (member.state !== 'dead' && member.identity.node !== state.self.node) {
      nodes.push(member.identity.node);
    }
  }
  for (let last = nodes.length - 1; last > 0; last -= 1) {
    const other = state.random.nextBelow(last + 1);
    const swapped = nodes[last] as NodeId;
    nodes[last] = nodes[other] as NodeId;
    nodes[other] = swapped;
  }
  return nodes;
};

/** Returns the next member of the round; starts a new round in another order when it is over. */
const nextInRound = (state: CoreState): Member | undefined => {
  const { membership } = state;
  if (membership.round.length === 0) {
    membership.round = shuffleMembers(state);
  }
  let member: Member | undefined;
  while (member === undefined && membership.round.length > 0) {
    const node = membership.round.pop();
    const candidate = node === undefined ? undefined : membership.members.get(node);
    member = candidate?.state === 'dead' ? undefined : candidate;
  }
  return member;
};

const probeNext = (state: CoreState, at: number): Effect[] => {
  const isRingTurn = state.membership.ticks % 2 === 0;
  const member = isRingTurn ? findSuccessor(state) : nextInRound(state);
  return member === undefined ? [] : probeMember(state, member, at);
};

const chooseDeadMember = (state: CoreState): Member | undefined => {
  const { membership } = state;
  const dead = [...membership.dead];
  const node = dead[state.random.nextBelow(dead.length)];
  return node === undefined ? undefined : membership.members.get(node);
};

/** Pings a dead member at random, at a rate over all nodes that does not depend on their number. */
const pingDead = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  if (membership.dead.size === 0) {
    return [];
  }
  const live = Math.max(1, listRing(membership).length);
  const pingsPerTick = (DEAD_PINGS_PER_SECOND * PROBE_INTERVAL_MS) / MS_PER_SECOND;
  const chance = (membership.dead.size * pingsPerTick) / live;
  const member = state.random.next() < chance ? chooseDeadMember(state) : undefined;
  return member === undefined ? [] : [pingMember(state, member, at)];
};

const pingDisputed = (state: CoreState, at: number): Effect[] => {
  const effects: Effect[] = [];
  for (const node of state.membership.disputed) {
    if (effects.length >= DISPUTED_PER_TICK) {
      break;
    }
    state.membership.disputed.delete(node);
    const member = state.membership.members.get(node);
    if (member?.state === 'dead') {
      effects.push(pingMember(state, member, at));
    }
  }
  return effects;
};

const isUnknown = (membership: MembershipState, address: PeerAddress): boolean =>
  !membership.addresses.has(addressKey(address));

const pingListedAddresses = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  const addresses = membership.listedAddresses.splice(0, LISTED_ADDRESSES_PER_TICK);
  return addresses
    .filter((address) => isUnknown(membership, address))
    .map((address) => pingAddress(state, address, at));
};

const removeExpiredDead = (membership: MembershipState, at: number): void => {
  for (const node of membership.dead) {
    const member = membership.members.get(node);
    if (member !== undefined && at - member.since >= DEAD_RETENTION_MS) {
      removeMember(membership, member);
    }
  }
};

/** Runs one tick. */
export const tickMembership = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  membership.ticks += 1;
  removeExpiredDead(membership, at);
  const dueAt = Math.max(membership.tickDueAt + PROBE_INTERVAL_MS, at + PROBE_INTERVAL_MS / 2);
  return [
    armTick(membership, dueAt),
    ...probeNext(state, at),
    ...pingDead(state, at),
    ...pingDisputed(state, at),
    ...pingListedAddresses(state, at),
  ];
};
