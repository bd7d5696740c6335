/** The holder's side of its lease: requests the keepers' votes, renews the lease and releases it. */
import type { LeaseVote } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import { chooseKeepers } from '../keepers/choose-keepers.js';
import { partnerOfRow } from '../configuration/state.js';
import { findRoster, periodOf, wallTimeAt } from '../keepers/find-roster.js';
import { CLOCK_MARGIN_MS } from '../keepers/keeper-timing.js';
import type { CoreState } from '../state.js';
import { sendGrantMessage } from './send-grant-message.js';
import { findHolder } from './find-holder.js';
import { handleRowGrantRequest } from './give-grant.js';
import {
  GRANT_MS,
  IDLE_AFTER_MS,
  LEASE_MS,
  LEASE_RENEW_BEFORE_MS,
  VOTE_TIMEOUT_MS,
  withRateMargin,
} from './limit-timing.js';
import type { LeaseQuorum, PendingLease, Tenure } from './state.js';

const createTenure = (row: string, at: number): Tenure => ({
  row,
  leaseUntil: Number.NEGATIVE_INFINITY,
  adoptUntil: Number.NEGATIVE_INFINITY,
  pending: undefined,
  lastRequestAt: at,
  books: new Map(),
  waiting: new Map(),
});

/** Returns this node's tenure of the row; creates one without a lease if there is none. */
export const getTenure = (state: CoreState, row: string, at: number): Tenure => {
  const known = state.admission.tenures.get(row);
  if (known !== undefined) {
    return known;
  }
  const tenure = createTenure(row, at);
  state.admission.tenures.set(row, tenure);
  return tenure;
};

/** Whether the lease is valid on this node's clock. */
export const holdsLease = (tenure: Tenure, at: number): boolean => at < tenure.leaseUntil;

/**
 * Returns the quorums that a lease starting now needs: a majority for each roster whose period the
 * lease may overlap on any clock. Undefined if a roster is missing.
 */
const listQuorums = (state: CoreState, row: string, at: number): LeaseQuorum[] | undefined => {
  const wallTime = wallTimeAt(state, at);
  const partner = partnerOfRow(row);
  const last = periodOf(wallTime + LEASE_MS + CLOCK_MARGIN_MS);
  const quorums: LeaseQuorum[] = [];
  for (let period = periodOf(wallTime - CLOCK_MARGIN_MS); period <= last; period += 1) {
    const roster = findRoster(state, period);
    if (roster === undefined) {
      return undefined;
    }
    quorums.push(chooseKeepers(roster, partner, `limit|${row}`));
  }
  return quorums;
};

const candidateName = (state: CoreState): string =>
  `${state.self.node}@${state.keepers.startIncarnation}`;

const sendLeaseRequests = (
  state: CoreState,
  row: string,
  quorums: readonly LeaseQuorum[],
  sequence: number,
  release: boolean,
  at: number,
): Effect[] => {
  const keepers = new Set(quorums.flatMap((quorum) => quorum.nodes));
  const candidate = candidateName(state);
  return [...keepers].flatMap((keeper) =>
    sendGrantMessage(
      state,
      keeper,
      { type: 'lease-request', row, candidate, sequence, release },
      at,
    ),
  );
};

const requestLease = (state: CoreState, tenure: Tenure, at: number): Effect[] => {
  const needed = listQuorums(state, tenure.row, at);
  if (needed === undefined) {
    return [];
  }
  state.admission.sequence += 1;
  const { sequence } = state.admission;
  tenure.pending = { sequence, sentAt: at, needed, votes: new Set(), first: true };
  return sendLeaseRequests(state, tenure.row, needed, sequence, false, at);
};

const isAwaitingVotes = (pending: PendingLease | undefined, at: number): boolean =>
  pending !== undefined && at < pending.sentAt + VOTE_TIMEOUT_MS;

/** Requests the lease or its renewal if it is due and no request is pending. */
export const requestLeaseIfDue = (state: CoreState, tenure: Tenure, at: number): Effect[] => {
  const isDue = tenure.leaseUntil - at < LEASE_RENEW_BEFORE_MS;
  return isDue && !isAwaitingVotes(tenure.pending, at) ? requestLease(state, tenure, at) : [];
};

/** Releases the lease, so that another node can get it at once; discards waiting requests. */
const releaseLease = (state: CoreState, tenure: Tenure, at: number): Effect[] => {
  tenure.pending = undefined;
  tenure.waiting.clear();
  if (!holdsLease(tenure, at)) {
    return [];
  }
  tenure.leaseUntil = Number.NEGATIVE_INFINITY;
  state.admission.sequence += 1;
  const quorums = listQuorums(state, tenure.row, at) ?? [];
  return sendLeaseRequests(state, tenure.row, quorums, state.admission.sequence, true, at);
};

const hasMajorities = (pending: PendingLease): boolean =>
  pending.needed.every(
    ({ nodes, majority }) => nodes.filter((node) => pending.votes.has(node)).length >= majority,
  );

/**
 * Returns the maximum time for which a query admitted under an earlier holder's grant may still be in
 * progress, in milliseconds.
 */
const adoptionMs = (state: CoreState, row: string): number =>
  withRateMargin(GRANT_MS) + (state.configuration.inForce.rows.get(row)?.deadlineMs ?? 0);

/**
 * Whether no other node can have held the lease. This is so if every voter knows of all votes of its
 * node in this period, none was for another candidate, and the previous period had no roster.
 */
const isFirstHolder = (state: CoreState, pending: PendingLease): boolean =>
  pending.first &&
  pending.needed.length === 1 &&
  findRoster(state, periodOf(wallTimeAt(state, pending.sentAt)) - 1) === undefined;

const startTenure = (state: CoreState, tenure: Tenure, pending: PendingLease, at: number): void => {
  if (!isFirstHolder(state, pending)) {
    tenure.books.clear();
    tenure.adoptUntil = at + adoptionMs(state, tenure.row);
  }
};

const answerWaitingRequests = (state: CoreState, tenure: Tenure, at: number): Effect[] => {
  const waiting = [...tenure.waiting.values()];
  tenure.waiting.clear();
  return waiting.flatMap(({ from, request }) => handleRowGrantRequest(state, from, request, at));
};

/** Handles a keeper's vote; with all majorities, the lease runs from the sending of the request. */
export const handleLeaseVote = (
  state: CoreState,
  from: NodeId,
  vote: LeaseVote,
  at: number,
): Effect[] => {
  const tenure = state.admission.tenures.get(vote.row);
  const pending = tenure?.pending;
  if (tenure === undefined || pending?.sequence !== vote.sequence || !vote.granted) {
    return [];
  }
  pending.votes.add(from);
  pending.first &&= vote.first;
  if (!hasMajorities(pending)) {
    return [];
  }
  tenure.pending = undefined;
  const until = pending.sentAt + LEASE_MS;
  if (at >= until) {
    return [];
  }
  if (!holdsLease(tenure, at)) {
    startTenure(state, tenure, pending, at);
  }
  tenure.leaseUntil = until;
  return answerWaitingRequests(state, tenure, at);
};

/** Refreshes a tenure: renews its lease while it is in use and this node is the holder, else releases it. */
export const refreshTenure = (state: CoreState, tenure: Tenure, at: number): Effect[] => {
  const isNeeded = at < tenure.lastRequestAt + IDLE_AFTER_MS;
  const isHolder = findHolder(state, tenure.row) === state.self.node;
  if (isNeeded && isHolder && state.phase !== 'stopping') {
    return requestLeaseIfDue(state, tenure, at);
  }
  return releaseLease(state, tenure, at);
};
