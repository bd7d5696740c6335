/** Rounds of gossip: rumours to a few random members, while there are any to spread. */
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { GOSSIP_INTERVAL_MS, GOSSIP_PEERS, URGENT_GOSSIP_PEERS } from './bounds.js';
import { hasRumours, takePiggyback } from './rumours.js';
import { listRing } from './ring.js';
import type { Member } from './member.js';

const GOSSIP_TIMER = { purpose: 'membership-gossip', subject: '' } as const;

/** Draws up to `count` different live members other than this node and `except`. */
export const drawMembers = (state: CoreState, count: number, except?: NodeId): Member[] => {
  const ring = listRing(state.membership);
  const drawn = new Set<Member>();
  const attempts = ring.length === 0 ? 0 : count * 4;
  for (let attempt = 0; attempt < attempts && drawn.size < count; attempt += 1) {
    const member = ring[state.random.nextBelow(ring.length)];
    const node = member?.identity.node;
    if (member !== undefined && node !== state.self.node && node !== except) {
      drawn.add(member);
    }
  }
  return [...drawn];
};

/** Sends the rumours of now to one member. */
const gossipTo = (state: CoreState, at: number, member: Member): Effect => ({
  type: 'send-datagram',
  to: member.identity.address,
  message: { type: 'gossip', ...takePiggyback(state, at, member.identity.node) },
});

/** Sees to it that rounds of gossip go on while there are rumours. */
export const armGossip = (state: CoreState, at: number): Effect[] => {
  if (state.membership.gossiping || !hasRumours(state.membership)) {
    return [];
  }
  state.membership.gossiping = true;
  return [{ type: 'set-timer', key: GOSSIP_TIMER, at: at + GOSSIP_INTERVAL_MS }];
};

const gossipToSome = (state: CoreState, at: number, count: number): Effect[] =>
  drawMembers(state, count).flatMap((member) =>
    hasRumours(state.membership) ? [gossipTo(state, at, member)] : [],
  );

/** One round of gossip. */
export const gossipRound = (state: CoreState, at: number): Effect[] => {
  state.membership.gossiping = false;
  const effects = gossipToSome(state, at, GOSSIP_PEERS);
  return [...effects, ...armGossip(state, at)];
};

/** Tells more members at once: for refutations and planned stops. */
export const gossipUrgently = (state: CoreState, at: number): Effect[] => [
  ...gossipToSome(state, at, URGENT_GOSSIP_PEERS),
  ...armGossip(state, at),
];
