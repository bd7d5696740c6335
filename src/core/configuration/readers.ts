/**
 * Roles within a zone, derived from the view: which nodes watch the store and push to which others.
 */
import type { NodeIdentity } from '../../protocol/node-address.js';
import { listLiveMembers, listZoneMembers, rankByRendezvous } from '../membership/view.js';
import type { CoreState } from '../state.js';
import { PUSH_FAN_OUT, READERS_PER_ZONE } from './bounds.js';

const RANK_SUBJECT = 'store-reader';
const NO_RANK = -1;

/** Lists the live members of this node's zone by rank, readers first; cached for each view. */
const listZoneRanks = (state: CoreState): readonly NodeIdentity[] => {
  const { configuration, membership, self } = state;
  if (configuration.zoneRanks.version !== membership.viewVersion) {
    const nodes = rankByRendezvous(listZoneMembers(membership, self.zone), RANK_SUBJECT);
    configuration.zoneRanks = { version: membership.viewVersion, nodes };
  }
  return configuration.zoneRanks.nodes;
};

/** Lists the readers of all zones in the current view. */
export const listReaders = (state: CoreState): readonly NodeIdentity[] => {
  const byZone = new Map<string, NodeIdentity[]>();
  for (const identity of listLiveMembers(state.membership)) {
    const nodes = byZone.get(identity.zone) ?? [];
    nodes.push(identity);
    byZone.set(identity.zone, nodes);
  }
  return [...byZone.values()].flatMap((nodes) =>
    rankByRendezvous(nodes, RANK_SUBJECT).slice(0, READERS_PER_ZONE),
  );
};

/** Returns this node's rank in its zone; -1 when it is leaving. */
export const findOwnRank = (state: CoreState): number =>
  listZoneRanks(state).findIndex((identity) => identity.node === state.self.node);

/** Whether this node is a reader, which watches the store. */
export const isReader = (state: CoreState): boolean => {
  const rank = findOwnRank(state);
  return rank !== NO_RANK && rank < READERS_PER_ZONE;
};

const childrenOf = (state: CoreState, rank: number): NodeIdentity[] => {
  const first = rank * PUSH_FAN_OUT + 1;
  return listZoneRanks(state).slice(first, first + PUSH_FAN_OUT);
};

/**
 * Lists the nodes to which this node forwards pushes: its children in the tree of ranks. The second
 * reader also pushes to the children of the first, so that they miss nothing if the first one
 * fails.
 */
export const listChildren = (state: CoreState): readonly NodeIdentity[] => {
  const rank = findOwnRank(state);
  if (rank === NO_RANK) {
    return [];
  }
  const own = childrenOf(state, rank);
  const isSecond = rank === 1;
  return isSecond ? [...childrenOf(state, 0).slice(rank), ...own] : own;
};
