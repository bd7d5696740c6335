/** The record of a member in the member table of this node. */
import type { MemberState } from '../../protocol/membership-messages.js';
import type { NodeIdentity } from '../../protocol/node-address.js';

/** One known member. Times are on the monotonic clock of this node. */
export interface Member {
  identity: NodeIdentity;
  state: MemberState;
  /** When the state last changed at this node. */
  since: number;
  /** Newest configuration revision the member is known to hold; 0 when unknown. */
  revision: number;
  /** Whether the last digest of the member said that it serves. */
  serving: boolean;
  /** Position on the probe ring. */
  readonly ringHash: number;
}
