/** State of membership: who is known, and in which state. */
import type { MemberState } from '../../protocol/membership-messages.js';
import type { NodeIdentity, PeerAddress } from '../../protocol/node-address.js';
import { hash32 } from '../hash.js';
import type { NodeId, ReplicaId } from '../identifiers.js';
import { TABLE_BUCKETS } from './bounds.js';
import type { Member } from './member.js';
import { toggleMemberHash } from './member-table.js';
import { createRumourQueue, type RumourQueue } from './rumour-queue.js';

/** A back end that takes no new work. */
export interface ReplicaRumour {
  /** The rumour holds until then, on this node's clock. */
  until: number;
  /** How often it has been sent. */
  sent: number;
}

/** A probe that awaits its acknowledgement. */
export interface Probe {
  readonly target: NodeId;
  /** `indirect` once peers have been asked; `confirm` for a suspect probed again. */
  stage: 'direct' | 'indirect' | 'confirm';
  /** When the current stage is given up. */
  dueAt: number;
  /** Set when the probe is on behalf of another node. */
  readonly requester?: { readonly address: PeerAddress; readonly sequence: number };
}

/** A suspicion that becomes a death when it is not refuted. */
export interface Suspicion {
  /** This node itself saw the probe fail. */
  observed: boolean;
  /** When the member is declared dead. */
  dueAt: number;
}

/** All members known, this node among them. */
export interface MembershipState {
  readonly members: Map<NodeId, Member>;
  /** Grows with each change of the set of live members, so that derived roles can be cached. */
  viewVersion: number;
  /** A peer has given this node its member table, or none could be reached. */
  joined: boolean;
  joinDeadline: number;
  /** By `host:port`: who listens there. */
  readonly addresses: Map<string, NodeId>;
  /** Hashes of the parts of the table; see `member-table.ts`. */
  readonly buckets: Uint32Array;
  /** When the table last changed. */
  changedAt: number;
  readonly rumours: RumourQueue;
  gossiping: boolean;
  readonly leavingReplicas: Map<ReplicaId, ReplicaRumour>;
  /** Those of `leavingReplicas` that are still to be spread. */
  readonly leavingToSpread: Set<ReplicaId>;
  readonly probes: Map<number, Probe>;
  nextSequence: number;
  readonly suspicions: Map<NodeId, Suspicion>;
  /** When the next tick of probing is due. */
  tickDueAt: number;
  ticks: number;
  /** Members by ring hash, for the view `ringVersion`. */
  ring: Member[];
  ringVersion: number;
  /** Members still to be probed in this round, in random order. */
  round: NodeId[];
  /** Members that are dead but not forgotten yet. */
  readonly dead: Set<NodeId>;
  /** Held dead here, but told alive with the same incarnation. */
  readonly disputed: Set<NodeId>;
  /** Addresses from the machine list that are not known as members. */
  hints: PeerAddress[];
  /** When seeds that are not members are asked again. */
  rejoinAt: number;
  pulledAt: number;
  /** Changes of the table since the last exchange began. */
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

/** Creates the state of a node that knows itself only. */
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
    hints: [],
    rejoinAt: 0,
    pulledAt: Number.NEGATIVE_INFINITY,
    changesSincePull: 0,
  };
};
