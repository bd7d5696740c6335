/** Addresses and identities of nodes. */
import type { NodeId, ZoneName } from '../core/identifiers.js';

/** Address on which a node listens for its peers: TCP and UDP on the same port. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Identity of a node, as it announces it to others. */
export interface NodeIdentity {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly region: string;
  readonly address: PeerAddress;
  /** Start of the process in milliseconds since 1970; increased to refute a suspicion. */
  readonly incarnation: number;
}
