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
  lastReportAt: number;
  /** It is passed over until then. */
  avoidUntil: number;
  /** It knows a replica too little to feed it, and is passed over until then, whatever it reports. */
  replicaUnknownUntil: number;
  /** It has been passed over and not reported since: it is given one attempt at a time. */
  onProbation: boolean;
}

/** Peers by node. */
export class PeerObservations extends Map<NodeId, PeerObservation> {
  /** No peer is passed over from then on, as far as has been noted; a trial's wait is counted in. */
  noneAvoidedAfter = 0;
}

const getPeerObservation = (peers: PeerObservations, node: NodeId): PeerObservation => {
  const known = peers.get(node);
  if (known !== undefined) {
    return known;
  }
  const created = {
    inFlight: 0,
    lastReportAt: 0,
    avoidUntil: 0,
    replicaUnknownUntil: 0,
    onProbation: false,
  };
  peers.set(node, created);
  return created;
};

/** Notes that an attempt was handed to `node`. */
export const recordAttemptAtPeer = (peers: PeerObservations, node: NodeId, at: number): void => {
  const peer = getPeerObservation(peers, node);
  if (peer.inFlight === 0) {
    peer.lastReportAt = at;
  }
  peer.inFlight += 1;
};

/** Notes that an attempt at `node` has ended for its coordinator, by a report or not. */
export const recordAttemptAtPeerEnded = (peers: PeerObservations, node: NodeId): void => {
  const peer = peers.get(node);
  if (peer !== undefined) {
    peer.inFlight -= 1;
  }
};

/** Notes a report from `node`. */
export const recordPeerReport = (peers: PeerObservations, node: NodeId, at: number): void => {
  const peer = getPeerObservation(peers, node);
  peer.lastReportAt = at;
  peer.avoidUntil = 0;
  peer.onProbation = false;
};

const markAvoided = (peers: PeerObservations, peer: PeerObservation, at: number): void => {
  peer.avoidUntil = at + AVOID_PEER_MS;
  peer.onProbation = true;
  peers.noneAvoidedAfter = Math.max(peers.noneAvoidedAfter, peer.avoidUntil + PEER_SILENCE_MS);
};

/** Notes that the link to `node` was lost. */
export const recordLinkLost = (peers: PeerObservations, node: NodeId, at: number): void => {
  markAvoided(peers, getPeerObservation(peers, node), at);
};

/**
 * Notes that `node` was handed a leg for a replica that it does not know: a process that has just started is
 * a member before it has read what the platform lists.
 */
export const recordReplicaUnknown = (peers: PeerObservations, node: NodeId, at: number): void => {
  getPeerObservation(peers, node).replicaUnknownUntil = at + AVOID_PEER_MS;
};

/** Whether `node` should be given no legs; one that has fallen silent is noted as such. */
export const isPeerAvoided = (peers: PeerObservations, node: NodeId, at: number): boolean => {
  const peer = peers.get(node);
  if (peer === undefined) {
    return false;
  }
  if (peer.replicaUnknownUntil > at) {
    return true;
  }
  if (peer.inFlight > 0 && at - peer.lastReportAt > PEER_SILENCE_MS) {
    markAvoided(peers, peer, at);
  }
  return peer.avoidUntil > at || (peer.onProbation && peer.inFlight > 0);
};

/** Forgets peers that are no members any more and hold no attempt. */
export const removeFormerPeers = (
  peers: PeerObservations,
  members: ReadonlyMap<NodeId, unknown>,
): void => {
  for (const [node, peer] of peers) {
    if (peer.inFlight === 0 && !members.has(node)) {
      peers.delete(node);
    }
  }
};
