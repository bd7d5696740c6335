/**
 * The membership slice: a gossip protocol that tracks which nodes are alive.
 *
 * A member is probed directly, then through peers; it is suspected before it is declared dead, and
 * refutes a suspicion by raising its incarnation. Rumours are piggybacked on probes. The protocol
 * needs no dedicated machine, and its cost per node does not depend on the number of nodes.
 */
import type { Effect } from '../effect.js';
import type { Event, LinkMessageArrived, TimerFired } from '../event.js';
import { identifier, type NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { runGossipRound } from './gossip.js';
import { startJoin, handleJoinTimer, requestTableIfJoining, handleMachinesRead } from './join.js';
import { announceLeaving } from './leave.js';
import { handleDatagram } from './messages.js';
import { detectPause } from './pause.js';
import { expireProbe, probeMember } from './probes.js';
import { expireSuspicion } from './suspicion.js';
import { handlePull, handlePage } from './table-exchange.js';
import { tickMembership } from './tick.js';

const handleTimer = (state: CoreState, { key, at }: TimerFired): Effect[] => {
  switch (key.purpose) {
    case 'membership-probe':
      return tickMembership(state, at);
    case 'membership-probe-timeout':
      return expireProbe(state, Number(key.subject), at);
    case 'membership-suspicion':
      return expireSuspicion(state, identifier<NodeId>(key.subject), at);
    case 'membership-gossip':
      return runGossipRound(state, at);
    case 'membership-join':
      return handleJoinTimer(state, at);
    default:
      return [];
  }
};

const handleLinkMessage = (state: CoreState, { message, at }: LinkMessageArrived): Effect[] => {
  switch (message.type) {
    case 'membership-pull':
      return handlePull(state, message, at);
    case 'membership-page':
      return handlePage(state, message, at);
    default:
      return [];
  }
};

/** Probes a peer at once after its link was lost. */
const handleLinkLost = (state: CoreState, peer: NodeId, at: number): Effect[] => {
  const member = state.membership.members.get(peer);
  const isLive = member?.state === 'alive' || member?.state === 'suspect';
  return member !== undefined && isLive ? probeMember(state, member, at) : [];
};

const reduceEvent = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'started':
      return startJoin(state, event.at);
    case 'stop-requested':
      return announceLeaving(state, event.at);
    case 'timer-fired':
      return handleTimer(state, event);
    case 'datagram-arrived':
      return [
        ...handleDatagram(state, event.message, event.at),
        ...requestTableIfJoining(state, event.at),
      ];
    case 'link-message-arrived':
      return handleLinkMessage(state, event);
    case 'link-lost':
      return handleLinkLost(state, event.peer, event.at);
    case 'machines-read':
      handleMachinesRead(state, event.machines);
      return [];
    default:
      return [];
  }
};

/** Handles an event of the membership slice. */
export const reduceMembership = (state: CoreState, event: Event): Effect[] => {
  const paused = detectPause(state, event.at);
  return [...paused, ...reduceEvent(state, event)];
};
