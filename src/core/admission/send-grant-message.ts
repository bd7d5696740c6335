/** Sends a message about limits, also to this node itself. */
import type { GrantMessage } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { handleGrantMessage } from './handle-grant-message.js';

/** Delivers `message` to `to`: over the link, or at once when it is this node. */
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
