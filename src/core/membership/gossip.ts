/** Rounds of gossip: send rumours to a few random members while there are any to spread. */
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { GOSSIP_INTERVAL_MS, GOSSIP_PEERS, URGENT_GOSSIP_PEERS } from './bounds.js';
import { hasRumours, createPiggyback } from './rumours.js';
import { listRing } from './ring.js';
import type { Member } from './member.js';

const GOSSIP_TIMER = { purpose: 'membership-gossip', subject: '' } as const;

/** Samples up to `count` distinct live members other than this node and `except`. */
export const sampleMembers = (state: CoreState, count: number, except?: NodeId): Member[] => {
  const ring = listRing(state.membership);
  const sampled = new Set<Member>();
  const attempts = ring.length === 0 ? 0 : count * 4;
  for (let attempt = 0; attempt < attempts && sampled.size < count; attempt += 1) {
    const member = ring[state.random.nextBelow(ring.length)];
    const node = member?.identity.node;
    if (member !== undefined && node !== state.self.node && node !== except) {
      sampled.add(member);
    }
  }
  return [...sampled];
};

/** Creates the datagram with the current rumours for one member. */
const createGossip = (state: CoreState, at: number, member: Member): Effect => ({
  type: 'send-datagram',
  to: member.identity.address,
  message: { type: 'gossip', ...createPiggyback(state, at, member.identity.node) },
});

/** Schedules the next round of gossip if there are rumours and none is scheduled. */
export const armGossip = (state: CoreState, at: number): Effect[] => {
  if (state.membership.gossiping || !hasRumours(state.membership)) {
    return [];
  }
  state.membership.gossiping = true;
  return [{ type: 'set-timer', key: GOSSIP_TIMER, at: at + GOSSIP_INTERVAL_MS }];
};

const sendGossip = (state: CoreState, at: number, count: number): Effect[] =>
  sampleMembers(state, count).flatMap((member) =>
    hasRumours(state.membership) ? [createGossip(state, at, member)] : [],
  );

/** Runs one round of gossip. */
export const runGossipRound = (state: CoreState, at: number): Effect[] => {
  state.membership.gossiping = false;
  const effects = sendGossip(state, at, GOSSIP_PEERS);
  return [...effects, ...armGossip(state, at)];
};

/** Sends rumours to more members at once, for refutations and planned stops. */
export const sendUrgentGossip = (state: CoreState, at: number): Effect[] => [
  ...sendGossip(state, at, URGENT_GOSSIP_PEERS),
  ...armGossip(state, at),
];
