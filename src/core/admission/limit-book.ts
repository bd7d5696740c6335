/** A holder's book of one limit; new slices never raise the counted sum above the available amount. */
import type { GrantRequest, GrantReturn, LimitKey } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { sendGrantMessage } from './send-grant-message.js';
import {
  REBALANCE_AT_ONCE_NODES,
  GRANT_MS,
  IDLE_AFTER_MS,
  withRateMargin,
} from './limit-timing.js';
import { shareLimit } from './share-limit.js';
import { type GivenSlice, type LimitBook, sliceName } from './state.js';

/** The amount that a holder can grant, and for how long. */
export interface GrantOffer {
  /** Upper bound of the sum of all slices. */
  readonly amount: number;
  /** Whether grants of earlier holders may be in use; then only amounts that grantees report are granted. */
  readonly adopting: boolean;
  /** How long a grant given now is valid, in milliseconds. */
  readonly validMs: number;
}

/** Creates a book without slices. */
export const createBook = (bound: LimitKey['bound']): LimitBook => ({
  bound,
  slices: new Map(),
  demand: 0,
  counted: 0,
  level: Number.POSITIVE_INFINITY,
  headroom: 0,
});

const createSlice = (name: string): GivenSlice => ({
  name,
  newest: 0,
  outstanding: [],
  used: 0,
  usedUntil: 0,
  demand: 0,
  requestedAt: Number.NEGATIVE_INFINITY,
  counted: 0,
});

const getSlice = (book: LimitBook, name: string): GivenSlice => {
  const slice = book.slices.get(name) ?? createSlice(name);
  book.slices.set(name, slice);
  return slice;
};

/** Updates the counted amount of a slice: the maximum that its grantee may be using. */
const updateCounted = (book: LimitBook, slice: GivenSlice, at: number): void => {
  slice.outstanding = slice.outstanding.filter((grant) => at < grant.endsAt);
  const running = at < slice.usedUntil ? slice.used : 0;
  const maxInUse = slice.outstanding.reduce((max, grant) => Math.max(max, grant.amount), running);
  book.counted += maxInUse - slice.counted;
  slice.counted = maxInUse;
};

/**
 * Returns how long a grant counts, in milliseconds: until the last query admitted under it has reached
 * its deadline.
 */
const countedMs = (state: CoreState, { row, bound }: LimitKey, validMs: number): number => {
  const deadlineMs = state.configuration.inForce.rows.get(row)?.deadlineMs ?? 0;
  return withRateMargin(validMs) + (bound === 'concurrent' ? withRateMargin(deadlineMs) : 0);
};

const recordDemand = (book: LimitBook, slice: GivenSlice, demand: number, at: number): void => {
  const earlier = at < slice.requestedAt + IDLE_AFTER_MS ? slice.demand : 0;
  book.demand += demand - earlier;
  slice.demand = demand;
  slice.requestedAt = at;
};

/** Records the demand of a grantee whose request waits, so that it counts in the next division. */
export const recordWaitingDemand = (
  book: LimitBook,
  from: NodeId,
  { asker, process, demand }: GrantRequest,
  at: number,
): void => {
  recordDemand(book, getSlice(book, sliceName(from, asker, process)), demand, at);
};

/**
 * Applies a grantee's report. A grantee accepts only the answer to its newest request, so grants older
 * than this message are void, except the grant that the report names as held.
 */
const applyReport = (
  state: CoreState,
  book: LimitBook,
  slice: GivenSlice,
  report: GrantRequest | GrantReturn,
  at: number,
): void => {
  const { limit, sequence, used } = report;
  const heldSequence = report.type === 'grant-request' ? report.heldSequence : 0;
  slice.newest = sequence;
  slice.outstanding = slice.outstanding.filter(
    (grant) => grant.sequence === heldSequence || grant.sequence >= sequence,
  );
  slice.used = used;
  slice.usedUntil = at + countedMs(state, limit, GRANT_MS);
  recordDemand(book, slice, report.type === 'grant-request' ? report.demand : 0, at);
  updateCounted(book, slice, at);
};

/** Rounds up or down to whole concurrent queries at random, so that all get small shares in turn. */
const roundRandomly = (state: CoreState, amount: number): number => {
  const whole = Math.floor(amount);
  return state.random.next() < amount - whole ? whole + 1 : whole;
};

const targetAmount = (state: CoreState, book: LimitBook, demand: number): number => {
  const wanted = Math.min(book.level, demand) + book.headroom;
  return book.bound === 'concurrent' ? roundRandomly(state, wanted) : wanted;
};

const chooseAmount = (
  state: CoreState,
  book: LimitBook,
  slice: GivenSlice,
  request: GrantRequest,
  giving: GrantOffer,
): number => {
  if (giving.adopting) {
    return Math.min(request.holds, giving.amount);
  }
  const others = book.counted - slice.counted;
  const available = Math.max(0, giving.amount - others);
  const amount = Math.min(available, targetAmount(state, book, request.demand));
  return book.bound === 'concurrent' ? Math.floor(amount) : amount;
};

/** Divides `amount` over the grantees with recent requests and removes the idle ones. */
export const rebalanceBook = (book: LimitBook, amount: number, at: number): void => {
  const demands: number[] = [];
  for (const slice of book.slices.values()) {
    updateCounted(book, slice, at);
    if (at < slice.requestedAt + IDLE_AFTER_MS) {
      demands.push(slice.demand);
    } else if (slice.counted === 0) {
      book.slices.delete(slice.name);
    }
  }
  book.demand = demands.reduce((sum, demand) => sum + demand, 0);
  const shares = shareLimit(demands, amount);
  book.level = shares.level;
  book.headroom = shares.headroom;
};

/** Grants a slice of the book in answer to a request; ignores outdated requests. */
export const grantSlice = (
  state: CoreState,
  book: LimitBook,
  from: NodeId,
  request: GrantRequest,
  giving: GrantOffer,
  at: number,
): Effect[] => {
  const { limit, asker, process, sequence } = request;
  const name = sliceName(from, asker, process);
  const isNew = !book.slices.has(name);
  const slice = getSlice(book, name);
  if (sequence < slice.newest) {
    return [];
  }
  applyReport(state, book, slice, request, at);
  if (isNew && book.slices.size <= REBALANCE_AT_ONCE_NODES) {
    rebalanceBook(book, giving.amount, at);
  }
  const amount = chooseAmount(state, book, slice, request, giving);
  const { validMs, adopting } = giving;
  slice.outstanding.push({ amount, sequence, endsAt: at + countedMs(state, limit, validMs) });
  updateCounted(book, slice, at);
  state.counters.grants_given += 1;
  return sendGrantMessage(
    state,
    from,
    { type: 'grant', limit, asker, amount, sequence, adopted: adopting, validMs },
    at,
  );
};

/** Applies a grantee's return of its slice; ignores outdated messages. */
export const returnSlice = (
  state: CoreState,
  book: LimitBook,
  from: NodeId,
  returned: GrantReturn,
  at: number,
): void => {
  const slice = book.slices.get(sliceName(from, returned.asker, returned.process));
  if (slice !== undefined && returned.sequence >= slice.newest) {
    applyReport(state, book, slice, returned, at);
  }
};
