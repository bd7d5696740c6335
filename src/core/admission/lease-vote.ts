/** The keeper's side of a lease: a keeper votes for one candidate at a time. */
import type { LeaseRequest } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import { findRoster, isNamedProcess, periodOf, wallTimeAt } from '../keepers/find-roster.js';
import type { CoreState } from '../state.js';
import { sendGrantMessage } from './send-grant-message.js';
import { LEASE_MS, withRateMargin } from './limit-timing.js';
import type { LeaseRecord } from './state.js';

/** Whether this process knows of every vote that its node has cast in this period. */
const knowsAllVotes = (state: CoreState, at: number): boolean => {
  const roster = findRoster(state, periodOf(wallTimeAt(state, at)));
  return roster !== undefined && isNamedProcess(state, roster);
};

/** Whether this process may vote: it knows its node's earlier votes, or these have expired. */
const mayVote = (state: CoreState, at: number): boolean =>
  at >= state.keepers.startedAt + withRateMargin(LEASE_MS) || knowsAllVotes(state, at);

const isVoteFree = (record: LeaseRecord | undefined, candidate: string, at: number): boolean =>
  record === undefined || record.candidate === candidate || at >= record.until;

const releaseVote = (state: CoreState, request: LeaseRequest): void => {
  const record = state.admission.votes.get(request.row);
  if (record?.candidate === request.candidate && record.sequence < request.sequence) {
    record.sequence = request.sequence;
    record.until = Number.NEGATIVE_INFINITY;
  }
};

const recordVote = (state: CoreState, request: LeaseRequest, at: number): LeaseRecord => {
  const { row, candidate, sequence } = request;
  const earlier = state.admission.votes.get(row);
  const sameCandidate = earlier?.candidate === candidate;
  const record: LeaseRecord = {
    candidate,
    sequence: sameCandidate ? Math.max(earlier.sequence, sequence) : sequence,
    until: at + withRateMargin(LEASE_MS),
    first: earlier === undefined || (earlier.first && sameCandidate),
  };
  state.admission.votes.set(row, record);
  return record;
};

/** Handles a candidate's request: votes for it unless another has the vote, or releases its vote. */
export const handleLeaseRequest = (
  state: CoreState,
  from: NodeId,
  request: LeaseRequest,
  at: number,
): Effect[] => {
  if (request.release) {
    releaseVote(state, request);
    return [];
  }
  const { row, candidate, sequence } = request;
  const granted = mayVote(state, at) && isVoteFree(state.admission.votes.get(row), candidate, at);
  const first = granted && recordVote(state, request, at).first && knowsAllVotes(state, at);
  return sendGrantMessage(state, from, { type: 'lease-vote', row, sequence, granted, first }, at);
};
