/**
 * Probes: a direct ping, then pings through peers, then suspicion, during which probes continue.
 */
import type { PeerAddress } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import {
  CONFIRM_INTERVAL_MS,
  DIRECT_TIMEOUT_MS,
  INDIRECT_PEERS,
  INDIRECT_TIMEOUT_MS,
  LATE_TIMER_MS,
  MAX_PROBES,
} from './bounds.js';
import { createDigest } from './digest.js';
import { sampleMembers } from './gossip.js';
import { prependUpdate, createPiggyback } from './rumours.js';
import type { Member } from './member.js';
import type { Probe } from './state.js';
import { declareDead, suspectUnreachable } from './suspicion.js';

const probeTimer = (sequence: number) =>
  ({ purpose: 'membership-probe-timeout', subject: String(sequence) }) as const;

const armProbe = (sequence: number, probe: Probe): Effect => ({
  type: 'set-timer',
  key: probeTimer(sequence),
  at: probe.dueAt,
});

const allocateSequence = (state: CoreState): number => {
  state.membership.nextSequence += 1;
  return state.membership.nextSequence;
};

const createPing = (
  state: CoreState,
  to: PeerAddress,
  receiver: NodeId | undefined,
  sequence: number,
  at: number,
): Effect => ({
  type: 'send-datagram',
  to,
  message: {
    type: 'ping',
    sequence,
    ...createPiggyback(state, at, receiver),
    ...createDigest(state),
  },
});

const sendPing = (state: CoreState, { identity }: Member, sequence: number, at: number): Effect =>
  createPing(state, identity.address, identity.node, sequence, at);

/** Sends a ping without a timeout; the acknowledgement carries the state of the receiver. */
export const pingMember = (state: CoreState, member: Member, at: number): Effect =>
  sendPing(state, member, allocateSequence(state), at);

/** Pings an address whose node is not known. */
export const pingAddress = (state: CoreState, address: PeerAddress, at: number): Effect =>
  createPing(state, address, undefined, allocateSequence(state), at);

const isProbed = (state: CoreState, node: NodeId): boolean => {
  for (const probe of state.membership.probes.values()) {
    if (probe.target === node && probe.requester === undefined) {
      return true;
    }
  }
  return false;
};

const addProbe = (state: CoreState, member: Member, probe: Probe, at: number): Effect[] => {
  const { membership } = state;
  if (membership.probes.size >= MAX_PROBES) {
    return [];
  }
  const sequence = allocateSequence(state);
  membership.probes.set(sequence, probe);
  return [sendPing(state, member, sequence, at), armProbe(sequence, probe)];
};

/** Probes a member unless a probe of it is in flight. */
export const probeMember = (state: CoreState, member: Member, at: number): Effect[] => {
  const { node } = member.identity;
  return isProbed(state, node)
    ? []
    : addProbe(state, member, { target: node, stage: 'direct', dueAt: at + DIRECT_TIMEOUT_MS }, at);
};

/** Probes a member on behalf of a peer; the acknowledgement is forwarded to the peer. */
export const probeForPeer = (
  state: CoreState,
  member: Member,
  requester: NonNullable<Probe['requester']>,
  at: number,
): Effect[] => {
  const { node } = member.identity;
  const dueAt = at + INDIRECT_TIMEOUT_MS;
  return addProbe(state, member, { target: node, stage: 'direct', dueAt, requester }, at);
};

const requestIndirectProbes = (
  state: CoreState,
  sequence: number,
  target: NodeId,
  at: number,
): Effect[] => {
  const suspect = state.membership.members.get(target);
  return sampleMembers(state, INDIRECT_PEERS, target).map((peer) => {
    const piggyback = createPiggyback(state, at, peer.identity.node);
    return {
      type: 'send-datagram',
      to: peer.identity.address,
      message: {
        type: 'ping-request',
        sequence,
        target,
        ...(suspect === undefined ? piggyback : prependUpdate(piggyback, suspect)),
      },
    };
  });
};

const startStage = (
  state: CoreState,
  sequence: number,
  probe: Probe,
  stage: Probe['stage'],
  at: number,
): Effect[] => {
  probe.stage = stage;
  probe.dueAt = at + (stage === 'indirect' ? INDIRECT_TIMEOUT_MS : CONFIRM_INTERVAL_MS);
  return [armProbe(sequence, probe), ...requestIndirectProbes(state, sequence, probe.target, at)];
};

const reprobeSuspect = (
  state: CoreState,
  sequence: number,
  probe: Probe,
  member: Member,
  at: number,
): Effect[] => {
  if (!state.membership.suspicions.has(probe.target)) {
    state.membership.probes.delete(sequence);
    return [];
  }
  return [
    sendPing(state, member, sequence, at),
    ...startStage(state, sequence, probe, 'confirm', at),
  ];
};

const failProbe = (
  state: CoreState,
  sequence: number,
  probe: Probe,
  member: Member,
  at: number,
): Effect[] => {
  if (member.state === 'leaving') {
    state.membership.probes.delete(sequence);
    return declareDead(state, member.identity, at);
  }
  const suspected = suspectUnreachable(state, probe.target, at);
  return [...suspected, ...reprobeSuspect(state, sequence, probe, member, at)];
};

/** Handles the timeout of a probe stage: starts the next stage, or suspects the member. */
export const expireProbe = (state: CoreState, sequence: number, at: number): Effect[] => {
  const { membership } = state;
  const probe = membership.probes.get(sequence);
  const member = probe === undefined ? undefined : membership.members.get(probe.target);
  if (probe === undefined) {
    return [];
  }
  if (member === undefined || member.state === 'dead' || probe.requester !== undefined) {
    membership.probes.delete(sequence);
    return [];
  }
  if (at - probe.dueAt > LATE_TIMER_MS) {
    probe.dueAt = at + DIRECT_TIMEOUT_MS;
    return [armProbe(sequence, probe), sendPing(state, member, sequence, at)];
  }
  switch (probe.stage) {
    case 'direct':
      return startStage(state, sequence, probe, 'indirect', at);
    case 'indirect':
      return failProbe(state, sequence, probe, member, at);
    case 'confirm':
      return reprobeSuspect(state, sequence, probe, member, at);
  }
};

/** Ends a probe that was acknowledged. */
export const endProbe = (state: CoreState, sequence: number): Effect[] => {
  state.membership.probes.delete(sequence);
  return [{ type: 'cancel-timer', key: probeTimer(sequence) }];
};

/** Restarts the timeout of all probes in flight after a pause of this process. */
export const extendProbes = (state: CoreState, at: number): Effect[] => {
  const effects: Effect[] = [];
  for (const [sequence, probe] of state.membership.probes) {
    probe.dueAt = at + DIRECT_TIMEOUT_MS;
    effects.push(armProbe(sequence, probe));
  }
  return effects;
};
