/**
 * Rules for applying rumours to the member table. A greater incarnation wins; within one
 * incarnation, dead overrides leaving, leaving overrides suspect, and suspect overrides alive. Only
 * the node itself raises its incarnation, to refute rumours about it.
 */
import type { MemberState, MemberUpdate } from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { CHANGES_PER_REVIVAL } from './bounds.js';
import { writeMember } from './change-member.js';
import { armGossip, sendUrgentGossip } from './gossip.js';
import { getSelf } from './self-identity.js';
import type { Member } from './member.js';
import { addressKey } from './state.js';
import { declareDead, endSuspicion, suspectReported } from './suspicion.js';

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

const isNewer = (update: MemberUpdate, held: Member): boolean => {
  const difference = update.identity.incarnation - held.identity.incarnation;
  return difference > 0 || (difference === 0 && STATE_RANK[update.state] > STATE_RANK[held.state]);
};

const ownState = (state: CoreState): MemberState => getSelf(state).state;

/** Raises this node's incarnation above `above` and gossips it at once. */
export const raiseIncarnation = (state: CoreState, above: number, at: number): Effect[] => {
  const self = getSelf(state);
  const incarnation = Math.max(above, self.identity.incarnation) + 1;
  writeMember(state.membership, { ...self.identity, incarnation }, self.state, at);
  return sendUrgentGossip(state, at);
};

const warnOfDuplicateName = (state: CoreState, identity: NodeIdentity): Effect[] =>
  addressKey(identity.address) === addressKey(state.self.address)
    ? []
    : [
        {
          type: 'write-log',
          level: 'warn',
          part: 'membership',
          sentence: `another process was seen under this node's name at ${addressKey(identity.address)}`,
        },
      ];

/** Handles a rumour about this node itself; refutes it if it is wrong. */
const applyToSelf = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  const { incarnation } = getSelf(state).identity;
  const reported = update.identity.incarnation;
  const wrong =
    reported > incarnation || (reported === incarnation && update.state !== ownState(state));
  const harmless = reported === incarnation && update.state === 'alive';
  if (!wrong || harmless) {
    return [];
  }
  state.counters.suspicions_refuted += 1;
  return [...warnOfDuplicateName(state, update.identity), ...raiseIncarnation(state, reported, at)];
};

/** Declares a member dead if a newer process under another name uses its address. */
const replaceAtAddress = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  const { membership } = state;
  const holder = membership.addresses.get(addressKey(update.identity.address));
  const held = holder === undefined ? undefined : membership.members.get(holder);
  const replaced =
    held !== undefined &&
    held.identity.node !== update.identity.node &&
    held.identity.node !== state.self.node &&
    held.identity.incarnation < update.identity.incarnation;
  return replaced ? declareDead(state, held.identity, at) : [];
};

const applyAlive = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  const effects = [
    ...replaceAtAddress(state, update, at),
    ...endSuspicion(state.membership, update.identity.node),
  ];
  const { membership } = state;
  if (membership.dead.has(update.identity.node)) {
    membership.changesSincePull += CHANGES_PER_REVIVAL;
  }
  writeMember(membership, update.identity, update.state, at);
  membership.disputed.delete(update.identity.node);
  return effects;
};

const applyNewerUpdate = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  switch (update.state) {
    case 'alive':
    case 'leaving':
      return applyAlive(state, update, at);
    case 'suspect':
      return suspectReported(state, update.identity, at);
    case 'dead':
      return declareDead(state, update.identity, at);
  }
};

/** Applies one rumour; returns no effects when it is not newer than the record held. */
export const applyUpdate = (state: CoreState, update: MemberUpdate, at: number): Effect[] => {
  const { node } = update.identity;
  if (node === state.self.node) {
    return applyToSelf(state, update, at);
  }
  const held = state.membership.members.get(node);
  if (held === undefined ? update.state === 'dead' : !isNewer(update, held)) {
    return [];
  }
  return [...applyNewerUpdate(state, update, at), ...armGossip(state, at)];
};

/** Records that the sender of a message is alive, if its record is older. */
export const applySender = (state: CoreState, sender: NodeIdentity, at: number): Effect[] =>
  applyUpdate(state, { identity: sender, state: 'alive' }, at);
