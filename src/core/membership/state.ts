/** State of the membership slice: the known members and their states. */
import type { MemberState } from '../../protocol/membership-messages.js';
import type { NodeIdentity, PeerAddress } from '../../protocol/node-address.js';
import { hash32 } from '../hash.js';
import type { NodeId, ReplicaId } from '../identifiers.js';
import { TABLE_BUCKETS } from './bounds.js';
import type { Member } from './member.js';
import { toggleMemberHash } from './member-table.js';
import { createRumourQueue, type RumourQueue } from './rumour-queue.js';

/** A replica that accepts no new work. */
export interface ReplicaRumour {
  /** Time at which the rumour expires, on this node's clock. */
  until: number;
  /** Number of times it has been sent. */
  sent: number;
}

/** A probe whose acknowledgement is awaited. */
export interface Probe {
  readonly target: NodeId;
  /** `indirect` once peers have been requested to probe; `confirm` while a suspect is probed again. */
  stage: 'direct' | 'indirect' | 'confirm';
  /** When the current stage times out. */
  dueAt: number;
  /** The node on whose behalf the probe is sent, if any. */
  readonly requester?: { readonly address: PeerAddress; readonly sequence: number };
}

/** A suspicion; the member is declared dead unless it is refuted. */
export interface Suspicion {
  /** Whether this node's own probe failed; false when a peer reported the suspicion. */
  observed: boolean;
  /** When the member is declared dead. */
  dueAt: number;
}

/** State of the membership slice. Times are on the monotonic clock of this node. */
export interface MembershipState {
  /** All known members, including this node. */
  readonly members: Map<NodeId, Member>;
  /**
   * Incremented with each change of the set of live members, so that derived roles can be cached.
   */
  viewVersion: number;
  /** Whether a peer has sent its member table, or no peer could be reached in time. */
  joined: boolean;
  joinDeadline: number;
  /** The node at each address, by `host:port`. */
  readonly addresses: Map<string, NodeId>;
  /** Hashes of the buckets of the table; see `member-table.ts`. */
  readonly buckets: Uint32Array;
  /** When the table last changed. */
  changedAt: number;
  readonly rumours: RumourQueue;
  gossiping: boolean;
  readonly leavingReplicas: Map<ReplicaId, ReplicaRumour>;
  /** The keys of `leavingReplicas` whose rumours are still to be spread. */
  readonly leavingToSpread: Set<ReplicaId>;
  readonly probes: Map<number, Probe>;
  nextSequence: number;
  readonly suspicions: Map<NodeId, Suspicion>;
  /** When the next tick is due. */
  tickDueAt: number;
  ticks: number;
  /** Live members by ring hash, for the view version `ringVersion`. */
  ring: Member[];
  ringVersion: number;
  /** Members still to be probed in this round, in random order. */
  round: NodeId[];
  /** Dead members that have not been removed yet. */
  readonly dead: Set<NodeId>;
  /** Members dead at this node but alive with the same incarnation in a peer's table. */
  readonly disputed: Set<NodeId>;
  /** Addresses from the machine list that belong to no known member. */
  listedAddresses: PeerAddress[];
  /** When seeds that are not members are pinged again. */
  rejoinAt: number;
  /** When the last exchange was requested, or its last page was received. */
  pulledAt: number;
  /** Changes of the table since the last exchange was requested. */
  changesSincePull: number;
}

/** Creates a member's record. */
export const createMember = (identity: NodeIdentity, state: MemberState, at: number): Member => ({
  identity,
  state,
  since: at,
  revision: 0,
  serving: false,
  ringHash: hash32(identity.node),
});

/** Formats an address as the key of `addresses`. */
export const addressKey = (address: PeerAddress): string => `${address.host}:${address.port}`;

/** Creates the state of a node that knows only itself. */
export const createMembershipState = (self: NodeIdentity): MembershipState => {
  const member = createMember(self, 'alive', 0);
  const buckets = new Uint32Array(TABLE_BUCKETS);
  toggleMemberHash(buckets, member);
  return {
    members: new Map([[self.node, member]]),
    viewVersion: 1,
    joined: false,
    joinDeadline: 0,
    addresses: new Map([[addressKey(self.address), self.node]]),
    buckets,
    changedAt: 0,
    rumours: createRumourQueue(),
    gossiping: false,
    leavingReplicas: new Map(),
    leavingToSpread: new Set(),
    probes: new Map(),
    nextSequence: 1,
    suspicions: new Map(),
    tickDueAt: Number.POSITIVE_INFINITY,
    ticks: 0,
    ring: [],
    ringVersion: 0,
    round: [],
    dead: new Set(),
    disputed: new Set(),
    listedAddresses: [],
    rejoinAt: 0,
    pulledAt: Number.NEGATIVE_INFINITY,
    changesSincePull: 0,
  };
};
