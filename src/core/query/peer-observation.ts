/** What a coordinator has seen of its peers as feeders; one that is out of reach is passed over. */
import type { NodeId } from '../identifiers.js';

/** How long a peer is passed over after its link was lost or it fell silent, in milliseconds. */
const AVOID_PEER_MS = 1_000;
/** A peer that holds legs is silent when it has reported nothing for so long, in milliseconds. */
const PEER_SILENCE_MS = 100;

/** One peer. */
export interface PeerObservation {
  /** Attempts that it holds. */
  inFlight: number;
  /** When it last reported, or was given work after having had none. */
  heardAt: number;
  /** It is passed over until then. */
  avoidUntil: number;
  /** It knows a replica too little to feed it, and is passed over until then, whatever it reports. */
  unawareUntil: number;
  /** It has been passed over and not reported since: it is given one attempt at a time. */
  doubted: boolean;
}

/** Peers by node. */
export class PeerObservations extends Map<NodeId, PeerObservation> {
  /** No peer is passed over from then on, as far as has been noted; a trial's wait is counted in. */
  avoidedUntil = 0;
}

const observePeer = (peers: PeerObservations, node: NodeId): PeerObservation => {
  const known = peers.get(node);
  if (known !== undefined) {
    return known;
  }
  const created = { inFlight: 0, heardAt: 0, avoidUntil: 0, unawareUntil: 0, doubted: false };
  peers.set(node, created);
  return created;
};

/** Notes that an attempt was handed to `node`. */
export const recordHanded = (peers: PeerObservations, node: NodeId, at: number): void => {
  const peer = observePeer(peers, node);
  if (peer.inFlight === 0) {
    peer.heardAt = at;
  }
  peer.inFlight += 1;
};

/** Notes that an attempt at `node` has ended for its coordinator, by a report or not. */
export const recordHandedEnded = (peers: PeerObservations, node: NodeId): void => {
  const peer = peers.get(node);
  if (peer !== undefined) {
    peer.inFlight -= 1;
  }
};

/** Notes a report from `node`. */
export const recordHeard = (peers: PeerObservations, node: NodeId, at: number): void => {
  const peer = observePeer(peers, node);
  peer.heardAt = at;
  peer.avoidUntil = 0;
  peer.doubted = false;
};

const avoid = (peers: PeerObservations, peer: PeerObservation, at: number): void => {
  peer.avoidUntil = at + AVOID_PEER_MS;
  peer.doubted = true;
  peers.avoidedUntil = Math.max(peers.avoidedUntil, peer.avoidUntil + PEER_SILENCE_MS);
};

/** Notes that the link to `node` was lost. */
export const recordLinkLost = (peers: PeerObservations, node: NodeId, at: number): void => {
  avoid(peers, observePeer(peers, node), at);
};

/**
 * Notes that `node` was handed a leg for a replica that it does not know: a process that has just started is
 * a member before it has read what the platform lists.
 */
export const recordUnaware = (peers: PeerObservations, node: NodeId, at: number): void => {
  observePeer(peers, node).unawareUntil = at + AVOID_PEER_MS;
};

/** Whether `node` should be given no legs; one that has fallen silent is noted as such. */
export const isPeerAvoided = (peers: PeerObservations, node: NodeId, at: number): boolean => {
  const peer = peers.get(node);
  if (peer === undefined) {
    return false;
  }
  if (peer.unawareUntil > at) {
    return true;
  }
  if (peer.inFlight > 0 && at - peer.heardAt > PEER_SILENCE_MS) {
    avoid(peers, peer, at);
  }
  return peer.avoidUntil > at || (peer.doubted && peer.inFlight > 0);
};

/** Forgets peers that are no members any more and hold no attempt. */
export const forgetPeers = (
  peers: PeerObservations,
  members: ReadonlyMap<NodeId, unknown>,
): void => {
  for (const [node, peer] of peers) {
    if (peer.inFlight === 0 && !members.has(node)) {
      peers.delete(node);
    }
  }
};
