/** What a coordinator has observed of its peers as feeders. It avoids peers that seem unreachable. */
import type { NodeId } from '../identifiers.js';

/** How long a peer is avoided after its link was lost or it fell silent, in milliseconds. */
const AVOID_PEER_MS = 1_000;
/** A peer that holds legs counts as silent after this time without a report, in milliseconds. */
const PEER_SILENCE_MS = 100;

/** Observations of one peer. */
export interface PeerObservation {
  /** Attempts sent to the peer that have not ended. */
  inFlight: number;
  /** Time of its last report, or of the first attempt sent to it after it had none. */
  lastReportAt: number;
  /** Time until which the peer is avoided, unless it reports earlier. */
  avoidUntil: number;
  /** Time until which the peer is avoided because it did not know a replica, even if it reports. */
  replicaUnknownUntil: number;
  /** Whether the peer was avoided and has not reported since; it then gets one attempt at a time. */
  onProbation: boolean;
}

/** Observations of peers by node. */
export class PeerObservations extends Map<NodeId, PeerObservation> {
  /**
   * Upper bound of the times until which peers are avoided. It includes the time until a peer that
   * does not answer its trial attempt counts as silent again.
   */
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

/** Records that an attempt was sent to `node` as its feeder. */
export const recordAttemptAtPeer = (peers: PeerObservations, node: NodeId, at: number): void => {
  const peer = getPeerObservation(peers, node);
  if (peer.inFlight === 0) {
    peer.lastReportAt = at;
  }
  peer.inFlight += 1;
};

/** Records a report from `node`, which is then no longer avoided as unreachable. */
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

/** Starts to avoid a peer that holds attempts and has not reported for too long. */
const avoidIfSilent = (peers: PeerObservations, peer: PeerObservation, at: number): void => {
  if (peer.inFlight > 0 && at - peer.lastReportAt > PEER_SILENCE_MS) {
    markAvoided(peers, peer, at);
  }
};

/**
 * Records that an attempt at `node` has ended for its coordinator, with or without a report. A peer that was silent until
 * then is avoided, also if it holds no other attempt: the ends of its attempts would otherwise hide its silence.
 */
export const recordAttemptAtPeerEnded = (
  peers: PeerObservations,
  node: NodeId,
  at: number,
): void => {
  const peer = peers.get(node);
  if (peer !== undefined) {
    avoidIfSilent(peers, peer, at);
    peer.inFlight -= 1;
  }
};

/** Records that the link to `node` was lost. */
export const recordLinkLost = (peers: PeerObservations, node: NodeId, at: number): void => {
  markAvoided(peers, getPeerObservation(peers, node), at);
};

/**
 * Records that `node` did not know the replica of a leg it was sent. A process that has just started
 * becomes a member before it has read the platform's list of replicas.
 */
export const recordReplicaUnknown = (peers: PeerObservations, node: NodeId, at: number): void => {
  getPeerObservation(peers, node).replicaUnknownUntil = at + AVOID_PEER_MS;
};

/** Whether `node` should get no legs; starts to avoid it if it has fallen silent. */
export const isPeerAvoided = (peers: PeerObservations, node: NodeId, at: number): boolean => {
  const peer = peers.get(node);
  if (peer === undefined) {
    return false;
  }
  if (peer.replicaUnknownUntil > at) {
    return true;
  }
  avoidIfSilent(peers, peer, at);
  return peer.avoidUntil > at || (peer.onProbation && peer.inFlight > 0);
};

/** Removes the observations of peers that are no longer members and hold no attempt. */
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
