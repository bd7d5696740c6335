/** A member as this node knows it. */
import type { MemberState } from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';

/** One known member. */
export interface Member {
  identity: NodeIdentity;
  state: MemberState;
  /** When the state last changed here. */
  since: number;
  /** The newest revision of the configuration the member is known to hold; 0 when not known. */
  revision: number;
  /** The member is known to serve. */
  serving: boolean;
  /** Place on the ring of probes. */
  readonly ringHash: number;
}
