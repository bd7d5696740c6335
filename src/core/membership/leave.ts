/** Announces a planned stop: first that the node is leaving, then that it has ended. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { URGENT_GOSSIP_PEERS } from './bounds.js';
import { writeMember } from './change-member.js';
import { sampleMembers, sendUrgentGossip } from './gossip.js';
import { getSelfIdentity } from './self-identity.js';

/** Announces that this node accepts no new work. */
export const announceLeaving = (state: CoreState, at: number): Effect[] => {
  writeMember(state.membership, getSelfIdentity(state), 'leaving', at);
  return sendUrgentGossip(state, at);
};

/** Announces to some members that this node has ended; they spread it. */
export const announceEnd = (state: CoreState): Effect[] => {
  const sender = getSelfIdentity(state);
  return sampleMembers(state, URGENT_GOSSIP_PEERS).map((member) => ({
    type: 'send-datagram',
    to: member.identity.address,
    message: { type: 'gossip', sender, updates: [{ identity: sender, state: 'dead' }] },
  }));
};
