/**
 * This node's identity with its current incarnation, which grows when the node refutes a rumour.
 */
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { CoreState } from '../state.js';
import type { Member } from './member.js';

/** Returns this node's own record. */
export const getSelf = (state: CoreState): Member => {
  const self = state.membership.members.get(state.self.node);
  if (self === undefined) {
    throw new Error('the member table lacks this node');
  }
  return self;
};

/** Returns this node's identity as it is sent to others. */
export const getSelfIdentity = (state: CoreState): NodeIdentity => getSelf(state).identity;
