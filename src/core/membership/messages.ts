/** Handlers of the membership datagrams. */
import type {
  Acknowledgement,
  MembershipMessage,
  Ping,
  PingRequest,
} from '../../protocol/membership-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { applySender, applyUpdate } from './apply-update.js';
import { createDigest } from './digest.js';
import { endProbe, probeForPeer } from './probes.js';
import { applyReplicaRumours } from './replica-rumours.js';
import { armGossip } from './gossip.js';
import { prependUpdate, createPiggyback } from './rumours.js';
import type { Member } from './member.js';
import type { Probe } from './state.js';
import { compareTables } from './table-exchange.js';

const recordDigest = (state: CoreState, message: MembershipMessage): void => {
  const member = state.membership.members.get(message.sender.node);
  if (member !== undefined && message.digest !== undefined) {
    member.revision = message.digest.revision;
    member.serving = message.digest.serving;
  }
};

/** Handles the data piggybacked on a datagram: rumours, digest and table hash. */
const handlePiggyback = (state: CoreState, message: MembershipMessage, at: number): Effect[] => {
  const { sender, updates } = message;
  const includesSender = updates.some((update) => update.identity.node === sender.node);
  const effects = includesSender ? [] : applySender(state, sender, at);
  for (const update of updates) {
    effects.push(...applyUpdate(state, update, at));
  }
  applyReplicaRumours(state, message.leaving ?? [], at);
  recordDigest(state, message);
  if (message.table !== undefined) {
    effects.push(...compareTables(state, sender, message.table, at));
  }
  return [...effects, ...armGossip(state, at)];
};

const createAcknowledgement = (state: CoreState, ping: Ping, at: number): Effect => ({
  type: 'send-datagram',
  to: ping.sender.address,
  message: {
    type: 'acknowledgement',
    subject: state.self.node,
    sequence: ping.sequence,
    ...createPiggyback(state, at, ping.sender.node),
    ...createDigest(state),
  },
});

const handlePingRequest = (state: CoreState, request: PingRequest, at: number): Effect[] => {
  const target = state.membership.members.get(request.target);
  const requester = { address: request.sender.address, sequence: request.sequence };
  return target === undefined || target.identity.node === state.self.node
    ? []
    : probeForPeer(state, target, requester, at);
};

const forwardAcknowledgement = (
  state: CoreState,
  requester: NonNullable<Probe['requester']>,
  subject: Member,
  at: number,
): Effect => ({
  type: 'send-datagram',
  to: requester.address,
  message: {
    type: 'acknowledgement',
    subject: subject.identity.node,
    sequence: requester.sequence,
    ...prependUpdate(createPiggyback(state, at, undefined), subject),
  },
});

const handleAcknowledgement = (state: CoreState, ack: Acknowledgement, at: number): Effect[] => {
  const { membership } = state;
  const probe = membership.probes.get(ack.sequence);
  const subject = membership.members.get(ack.subject);
  if (probe === undefined || subject === undefined || probe.target !== ack.subject) {
    return [];
  }
  if (probe.requester !== undefined) {
    return [
      ...endProbe(state, ack.sequence),
      forwardAcknowledgement(state, probe.requester, subject, at),
    ];
  }
  const stillSuspected = probe.stage === 'confirm' && membership.suspicions.has(ack.subject);
  return stillSuspected ? [] : endProbe(state, ack.sequence);
};

/** Handles one datagram. */
export const handleDatagram = (
  state: CoreState,
  message: MembershipMessage,
  at: number,
): Effect[] => {
  if (message.sender.node === state.self.node) {
    return [];
  }
  const effects = handlePiggyback(state, message, at);
  switch (message.type) {
    case 'ping':
      return [...effects, createAcknowledgement(state, message, at)];
    case 'ping-request':
      return [...effects, ...handlePingRequest(state, message, at)];
    case 'acknowledgement':
      return [...effects, ...handleAcknowledgement(state, message, at)];
    case 'gossip':
      return effects;
  }
};
