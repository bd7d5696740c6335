/** Sends messages about limits to other nodes or to this node. */
import type { GrantMessage } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { handleGrantMessage } from './handle-grant-message.js';

/** Sends `message` to node `to` over its link, or handles it at once if `to` is this node. */
export const sendGrantMessage = (
  state: CoreState,
  to: NodeId,
  message: GrantMessage,
  at: number,
): Effect[] => {
  if (to === state.self.node) {
    return handleGrantMessage(state, to, message, at);
  }
  const member = state.membership.members.get(to);
  return member === undefined
    ? []
    : [{ type: 'send-link', to, address: member.identity.address, message }];
};
