/** Dispatches each message about limits to its handler. */
import { match } from 'ts-pattern';
import type {
  Grant,
  GrantMessage,
  GrantRequest,
  GrantReturn,
} from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import {
  handleDividerGrantRequest,
  answerWaitingRequests,
  handleDividerGrantReturn,
} from './divide-grant.js';
import { handleRowGrantRequest, handleRowGrantReturn } from './give-grant.js';
import { handleLeaseRequest } from './lease-vote.js';
import { refillTokens, usableAmount } from './limit-use.js';
import { applyGrant } from './request-grant.js';
import { dividerName, limitName } from './state.js';
import { handleLeaseVote } from './tenure.js';

const handleGrantRequest = (
  state: CoreState,
  from: NodeId,
  request: GrantRequest,
  at: number,
): Effect[] =>
  request.asked === 'row'
    ? handleRowGrantRequest(state, from, request, at)
    : handleDividerGrantRequest(state, from, request, request.asked, at);

const handleGrantReturn = (
  state: CoreState,
  from: NodeId,
  returned: GrantReturn,
  at: number,
): Effect[] =>
  returned.asked === 'row'
    ? handleRowGrantReturn(state, from, returned, at)
    : handleDividerGrantReturn(state, from, returned, at);

const handleOwnGrant = (state: CoreState, from: NodeId, grant: Grant, at: number): Effect[] => {
  const use = state.admission.uses.get(limitName(grant.limit));
  if (use === undefined) {
    return [];
  }
  refillTokens(use, usableAmount(use, at), at);
  return applyGrant(state, use, use.used, from, grant, at);
};

const handleDividerGrant = (state: CoreState, from: NodeId, grant: Grant, at: number): Effect[] => {
  const divider = state.admission.dividers.get(dividerName(grant.limit, grant.asker));
  if (divider === undefined) {
    return [];
  }
  const effects = applyGrant(state, divider, divider.book.counted, from, grant, at);
  return [...effects, ...answerWaitingRequests(state, divider, at)];
};

/** Handles a message about limits from node `from`, which may be this node. */
export const handleGrantMessage = (
  state: CoreState,
  from: NodeId,
  message: GrantMessage,
  at: number,
): Effect[] =>
  match(message)
    .with({ type: 'grant-request' }, (request) => handleGrantRequest(state, from, request, at))
    .with({ type: 'grant-return' }, (returned) => handleGrantReturn(state, from, returned, at))
    .with({ type: 'grant', asker: 'node' }, (grant) => handleOwnGrant(state, from, grant, at))
    .with({ type: 'grant' }, (grant) => handleDividerGrant(state, from, grant, at))
    .with({ type: 'lease-request' }, (request) => handleLeaseRequest(state, from, request, at))
    .with({ type: 'lease-vote' }, (vote) => handleLeaseVote(state, from, vote, at))
    .exhaustive();
