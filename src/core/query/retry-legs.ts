/** Retries legs whose attempts have all failed, or marks them as missing. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, LegState } from './active-query.js';
import { spendExtraLoadOnCredit, spendExtraLoad } from './extra-load-budget.js';
import { finishIfDone, markMissing } from './finish-query.js';
import { startHedging } from './hedge-legs.js';
import type { MissingReason } from './query-request.js';
import { restartIfSnapshotGone } from './restart-query.js';
import { hasAvailableReplica } from './select-replica.js';
import { sendLegs } from './send-legs.js';

/** Maximum number of attempts of one leg, hedges and probes included. */
export const MAX_ATTEMPTS_PER_LEG = 3;
/** Maximum of the random delay before a shed leg is sent to another replica, in milliseconds. */
const SHED_PAUSE_MS = 10;

/** Refusals caused by overload; another attempt would add to it. */
const OVERLOAD_REASONS: ReadonlySet<MissingReason> = new Set<MissingReason>([
  'shedding',
  'queue-full',
  'deadline-passed',
]);

/** Failures not caused by load that leave unknown whether the attempt ran. */
const LOST_REASONS: ReadonlySet<MissingReason> = new Set<MissingReason>([
  'peer-lost',
  'connection-lost',
]);

/**
 * Pays for another attempt; returns false if the budget does not allow it. The retry is free if the
 * failed attempts provably did not run, unless overload is the cause and no other replica is available.
 * A retry after a lost link or connection may use credit. Any other retry needs a token.
 */
const payForRetry = (state: CoreState, query: ActiveQuery, leg: LegState, at: number): boolean => {
  const { budget } = query.observed;
  const { reason } = leg;
  if (reason !== undefined && LOST_REASONS.has(reason)) {
    return spendExtraLoadOnCredit(budget);
  }
  const overloaded = reason !== undefined && OVERLOAD_REASONS.has(reason);
  const free = !leg.mayHaveRun && (!overloaded || hasAvailableReplica(state, leg, at));
  return free || spendExtraLoad(budget);
};

/** Whether `leg` gets another attempt; if it may have run, only if its request is safe to repeat. */
const mayRetry = (state: CoreState, query: ActiveQuery, leg: LegState, at: number): boolean =>
  state.query.policy.retries &&
  leg.attempts.length < MAX_ATTEMPTS_PER_LEG &&
  query.deadlineAt > at &&
  (query.row.safeToRepeat || !leg.mayHaveRun) &&
  payForRetry(state, query, leg, at);

/**
 * Sends another attempt of each of `legs`. If no replica is left for a leg, restarts the query or marks
 * the leg as missing.
 */
const sendRetries = (
  state: CoreState,
  query: ActiveQuery,
  legs: readonly LegState[],
  at: number,
  effects: Effect[],
): void => {
  const unsent = sendLegs(state, query, legs, 'retry', at, effects);
  if (unsent.length > 0 && restartIfSnapshotGone(state, query, unsent, at, effects)) {
    return;
  }
  unsent.forEach((leg) => markMissing(query, leg, leg.reason ?? 'no-replica'));
  if (!query.hedgeArmed) {
    startHedging(state, query, at, effects);
  }
};

const delayRetry = (
  state: CoreState,
  query: ActiveQuery,
  leg: LegState,
  at: number,
  effects: Effect[],
): void => {
  query.legsAwaitingRetry.push(leg);
  if (query.legsAwaitingRetry.length === 1) {
    const key = { purpose: 'query-retry', subject: query.request } as const;
    const pause = SHED_PAUSE_MS * state.random.next();
    effects.push({ type: 'set-timer', key, at: at + pause });
  }
};

/** Sends or delays another attempt of each leg that may have one, and marks the others missing. */
export const retryLegs = (
  state: CoreState,
  query: ActiveQuery,
  legs: readonly LegState[],
  at: number,
  effects: Effect[],
): void => {
  const retried: LegState[] = [];
  for (const leg of legs) {
    if (!mayRetry(state, query, leg, at)) {
      markMissing(query, leg, leg.reason ?? 'no-replica');
    } else if (leg.reason === 'shedding') {
      delayRetry(state, query, leg, at, effects);
    } else {
      retried.push(leg);
    }
  }
  sendRetries(state, query, retried, at, effects);
};

/** Sends the delayed retries of a query. */
export const retryPausedLegs = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  const legs = query.legsAwaitingRetry.filter(
    (leg) => leg.status === 'open' && query.legs.includes(leg),
  );
  query.legsAwaitingRetry = [];
  sendRetries(state, query, legs, at, effects);
  finishIfDone(state, query, at, effects);
};
