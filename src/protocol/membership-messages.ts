/**
 * Messages of the membership protocol.
 *
 * Probes, acknowledgements and gossip are datagrams of less than 1,200 bytes; each may be lost,
 * duplicated or reordered. Whole member tables are exchanged over links.
 */
import type { NodeIdentity } from './node-address.js';
import type { NodeId, ReplicaId } from '../core/identifiers.js';

/** State of a member, as nodes report it to each other. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A gossiped update about a member. */
export interface MemberUpdate {
  readonly identity: NodeIdentity;
  readonly state: MemberState;
}

/** A gossiped update about a replica that accepts no new work. */
export interface LeavingReplica {
  readonly replica: ReplicaId;
  /** Remaining validity of the update when the message was sent, in milliseconds. */
  readonly remainingMs: number;
}

/** Summary of the configuration that a node holds; small enough to be sent with each ping. */
export interface ConfigurationDigest {
  /** The sender holds all changes of the store up to this revision. */
  readonly revision: number;
  /** The sender serves queries: it held the newest available revision when it joined. */
  readonly serving: boolean;
}

/** Fields that are piggybacked on each datagram. */
export interface Piggyback {
  readonly sender: NodeIdentity;
  readonly updates: readonly MemberUpdate[];
  /** Absent if there is nothing to report. */
  readonly leaving?: readonly LeavingReplica[];
  /** Absent in gossip and ping requests. */
  readonly digest?: ConfigurationDigest;
  /** Hash of the sender's member table; equal tables have equal hashes. */
  readonly table?: number;
}

/** Probes the receiver; the acknowledgement repeats `sequence`. */
export interface Ping extends Piggyback {
  readonly type: 'ping';
  readonly sequence: number;
}

/** Requests that the receiver pings `target` on behalf of the sender. */
export interface PingRequest extends Piggyback {
  readonly type: 'ping-request';
  readonly sequence: number;
  readonly target: NodeId;
}

/** Acknowledges a ping of `subject`, sent by it or on its behalf. */
export interface Acknowledgement extends Piggyback {
  readonly type: 'acknowledgement';
  readonly subject: NodeId;
  readonly sequence: number;
}

/** Sends updates that need no answer. */
export interface Gossip extends Piggyback {
  readonly type: 'gossip';
}

/** Any datagram of the membership protocol. */
export type MembershipMessage = Ping | PingRequest | Acknowledgement | Gossip;

/** Requests the part of the receiver's member table that differs from the sender's, over a link. */
export interface MembershipPull {
  readonly type: 'membership-pull';
  readonly sender: NodeIdentity;
  /** One hash per bucket of the table; empty to request the whole table. */
  readonly buckets: readonly number[];
  /** Requests members whose position on the ring is after this; -1 for the first page. */
  readonly after: number;
}

/** One page of a member table, ordered by position on the ring. */
export interface MembershipPage {
  readonly type: 'membership-page';
  readonly sender: NodeIdentity;
  readonly updates: readonly MemberUpdate[];
  /** Value of `after` for the next pull; absent on the last page. */
  readonly next?: number;
}

/** Any message of the membership protocol that is sent over links. */
export type MembershipLinkMessage = MembershipPull | MembershipPage;
