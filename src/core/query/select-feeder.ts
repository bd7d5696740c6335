/** Selects the node that feeds a replica, by rendezvous hashing in the replica's zone. */
import type { NodeIdentity } from '../../protocol/node-address.js';
import { listLiveMembers, rankByRendezvous } from '../membership/view.js';
import type { CoreState } from '../state.js';
import { removeFormerPeers, isPeerAvoided } from './peer-observation.js';
import type { ReplicaTarget } from './query-plan.js';

/** Candidates kept for each replica in addition to its feeders; they replace unreachable feeders. */
const SPARE_FEEDERS = 2;

const rankFeeders = (state: CoreState, target: ReplicaTarget): readonly NodeIdentity[] => {
  const live = listLiveMembers(state.membership);
  const inZone = live.filter((identity) => identity.zone === target.status.zone);
  const candidates = inZone.length > 0 ? inZone : live;
  const kept = state.query.policy.feedersPerReplica + SPARE_FEEDERS;
  return rankByRendezvous(candidates, target.endpoint).slice(0, kept);
};

/** Returns the nodes of the current view that may feed `target`, in order of preference. */
const listFeeders = (state: CoreState, target: ReplicaTarget): readonly NodeIdentity[] => {
  const { feederCache } = state.query;
  if (feederCache.viewVersion !== state.membership.viewVersion) {
    feederCache.viewVersion = state.membership.viewVersion;
    feederCache.ranked.clear();
    removeFormerPeers(state.query.peers, state.membership.members);
  }
  const known = feederCache.ranked.get(target.endpoint);
  if (known !== undefined) {
    return known;
  }
  const ranked = rankFeeders(state, target);
  feederCache.ranked.set(target.endpoint, ranked);
  return ranked;
};

const isAvoided = (state: CoreState, identity: NodeIdentity, at: number): boolean =>
  identity.node !== state.self.node && isPeerAvoided(state.query.peers, identity.node, at);

/**
 * Selects the feeder of `target`: this node if it is one of the feeders, else a random feeder, else
 * the first candidate that is not avoided. If all are avoided, it is the random feeder. Undefined only
 * if no node is known.
 */
export const selectFeeder = (
  state: CoreState,
  target: ReplicaTarget,
  at: number,
): NodeIdentity | undefined => {
  const ranked = listFeeders(state, target);
  const feeders = Math.min(state.query.policy.feedersPerReplica, ranked.length);
  for (let index = 0; index < feeders; index += 1) {
    if (ranked[index]?.node === state.self.node) {
      return state.self;
    }
  }
  const first = feeders > 1 ? state.random.nextBelow(feeders) : 0;
  const preferred = ranked[first];
  if (preferred !== undefined && !isAvoided(state, preferred, at)) {
    return preferred;
  }
  return ranked.find((identity) => !isAvoided(state, identity, at)) ?? preferred;
};

/** Whether all nodes that could feed `target` are avoided, as when its zone is cut off. */
export const isUnreachable = (state: CoreState, target: ReplicaTarget, at: number): boolean =>
  state.query.peers.noneAvoidedAfter > at &&
  listFeeders(state, target).every((identity) => isAvoided(state, identity, at));
