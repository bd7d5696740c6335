/** This node's identity with its incarnation of now, which grows when the node refutes a rumour. */
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { CoreState } from '../state.js';
import type { Member } from './member.js';

/** This node's own record. */
export const getSelf = (state: CoreState): Member => {
  const self = state.membership.members.get(state.self.node);
  if (self === undefined) {
    throw new Error('the member table lacks this node');
  }
  return self;
};

/** This node's identity as it is told to others. */
export const getSelfIdentity = (state: CoreState): NodeIdentity => getSelf(state).identity;
