/** The holder of a row: grants slices of the row's limits while it has the lease. */
import type { GrantRequest, GrantReturn, LimitBound } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { findHolder } from './find-holder.js';
import { createBook, grantSlice, returnSlice } from './limit-book.js';
import { GRANT_MS } from './limit-timing.js';
import { limitAmount } from './limit-use.js';
import { type LimitBook, sliceName, type Tenure } from './state.js';
import { getTenure, holdsLease, requestLeaseIfDue } from './tenure.js';

const getBook = (tenure: Tenure, bound: LimitBound): LimitBook => {
  const book = tenure.books.get(bound) ?? createBook(bound);
  tenure.books.set(bound, book);
  return book;
};

/** Whether grants of earlier holders may still be in use. */
const isAdopting = (tenure: Tenure, at: number): boolean => at < tenure.adoptUntil;

/** Handles a request for a slice: grants it with the lease, else keeps it until this node has the lease. */
export const handleRowGrantRequest = (
  state: CoreState,
  from: NodeId,
  request: GrantRequest,
  at: number,
): Effect[] => {
  const { row, bound } = request.limit;
  const amount = limitAmount(state.configuration.inForce.rows.get(row), bound);
  if (amount === undefined || findHolder(state, row) !== state.self.node) {
    return [];
  }
  const tenure = getTenure(state, row, at);
  tenure.lastRequestAt = at;
  const leaseEffects = requestLeaseIfDue(state, tenure, at);
  if (holdsLease(tenure, at)) {
    const offer = { amount, adopting: isAdopting(tenure, at), validMs: GRANT_MS };
    const book = getBook(tenure, bound);
    return [...leaseEffects, ...grantSlice(state, book, from, request, offer, at)];
  }
  const name = sliceName(from, request.asker, request.process);
  tenure.waiting.set(`${name}|${bound}`, { from, request });
  return leaseEffects;
};

/** Handles the return of a slice to the row's holder. */
export const handleRowGrantReturn = (
  state: CoreState,
  from: NodeId,
  returned: GrantReturn,
  at: number,
): Effect[] => {
  const book = state.admission.tenures.get(returned.limit.row)?.books.get(returned.limit.bound);
  if (book !== undefined) {
    returnSlice(state, book, from, returned, at);
  }
  return [];
};
