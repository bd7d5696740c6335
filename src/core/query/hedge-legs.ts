/**
 * Hedging: a second attempt for a leg that takes long. The slowest leg determines the latency of a
 * query, so the budget is reserved for the last open legs of a nearly complete query and for legs
 * whose replica is silent.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptRecord, LegState } from './active-query.js';
import { spendExtraLoadOnCredit, budgetLevel, spendExtraLoad } from './extra-load-budget.js';
import { hedgeThreshold } from './latency-histogram.js';
import { isSilent, silenceThresholdMs } from './replica-observation.js';
import { MAX_ATTEMPTS_PER_LEG } from './retry-legs.js';
import { selectHedgeReplica } from './select-replica.js';
import { type ChosenLeg, sendChosen } from './send-legs.js';

/** A query is nearly complete when at most this share of its legs is open, ... */
const LAST_LEGS_SHARE = 0.1;
/** ... or at most this many legs, whichever is more. */
const MIN_LAST_LEGS = 2;
/** Minimum delay before a hedge, in milliseconds. */
const MIN_DELAY_MS = 1;
/** Number of samples from which the observed quantile is used; `INITIAL_RATIO` applies before. */
const TRUSTED_SAMPLES = 200;
const INITIAL_RATIO = 3;
/** Share of legs beyond the quantile when the bucket is empty, as a multiple of the extra-load limit. */
const EMPTY_BUDGET_TAIL_FACTOR = 0.3;
/** Increase of that multiple when the bucket is full. */
const FULL_BUDGET_EXTRA_TAIL_FACTOR = 1.4;
/** Maximum share of legs that may take longer than the hedge delay. */
const MAX_TAIL = 0.5;
/**
 * Time that a hedge must be expected to save, in multiples of the expected latency, with a full and
 * with an empty bucket.
 */
const FULL_BUDGET_MIN_SAVING = 0.5;
const EMPTY_BUDGET_MIN_SAVING = 1.5;
/** Number of steps to which the bucket's level is rounded up before it changes the quantile. */
const BUDGET_LEVEL_STEPS = 4;

const hedgeRatio = (query: ActiveQuery): number => {
  const { ratios, budget } = query.observed;
  if (ratios.total < TRUSTED_SAMPLES) {
    return INITIAL_RATIO;
  }
  const level = Math.ceil(budgetLevel(budget) * BUDGET_LEVEL_STEPS) / BUDGET_LEVEL_STEPS;
  const maxTail =
    query.row.extraLoadLimit * (EMPTY_BUDGET_TAIL_FACTOR + FULL_BUDGET_EXTRA_TAIL_FACTOR * level);
  const minSaving =
    FULL_BUDGET_MIN_SAVING + (1 - level) * (EMPTY_BUDGET_MIN_SAVING - FULL_BUDGET_MIN_SAVING);
  return hedgeThreshold(ratios, Math.min(MAX_TAIL, maxTail), minSaving);
};

const mayHedge = (state: CoreState, query: ActiveQuery): boolean =>
  state.query.policy.hedging !== 'none' && query.row.hedging && query.row.safeToRepeat;

const lastLegCount = (query: ActiveQuery): number =>
  Math.max(MIN_LAST_LEGS, Math.floor(query.legs.length * LAST_LEGS_SHARE)) +
  query.legs.length -
  query.requiredShards;

const timerKey = (query: ActiveQuery) =>
  ({ purpose: 'query-hedge', subject: query.request }) as const;

/** Returns when the leg's only outstanding attempt is late enough for a hedge. */
const hedgeDueAt = (
  state: CoreState,
  leg: LegState,
  record: AttemptRecord,
  ratio: number,
): number => {
  const { policy } = state.query;
  if (policy.hedging === 'fixed') {
    return record.sentAt + policy.fixedHedgeDelayMs;
  }
  const { latencyMs } = leg.shard.observed;
  const lateMs = Math.max(MIN_DELAY_MS, ratio * latencyMs);
  return record.sentAt + Math.min(lateMs, silenceThresholdMs(record.target.observed));
};

/** Returns the only outstanding attempt of an open leg if that leg can still be hedged. */
const findHedgeableAttempt = (leg: LegState): AttemptRecord | undefined => {
  const possible =
    leg.status === 'open' &&
    leg.outstanding === 1 &&
    leg.attempts.length < Math.min(MAX_ATTEMPTS_PER_LEG, leg.shard.replicas.length);
  return possible
    ? leg.attempts.find((record) => !record.ended && record.purpose !== 'probe')
    : undefined;
};

/** Returns the earliest time at which a leg may be hedged; undefined if none can be. */
const nextHedgeAt = (state: CoreState, query: ActiveQuery): number | undefined => {
  const ratio = hedgeRatio(query);
  let next: number | undefined;
  for (const leg of query.legs) {
    const record = findHedgeableAttempt(leg);
    if (record !== undefined) {
      const due = hedgeDueAt(state, leg, record, ratio);
      next = next === undefined ? due : Math.min(next, due);
    }
  }
  return next;
};

/** Sets the timer for the next hedge of `query`, no earlier than `earliest`. */
const setHedgeTimer = (
  state: CoreState,
  query: ActiveQuery,
  earliest: number,
  effects: Effect[],
): void => {
  const due = nextHedgeAt(state, query);
  if (due !== undefined && due < query.deadlineAt) {
    query.hedgeArmed = true;
    effects.push({ type: 'set-timer', key: timerKey(query), at: Math.max(due, earliest) });
  }
};

/** Sets the first hedge timer of a query, if it may be hedged. */
export const startHedging = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  if (mayHedge(state, query) && query.open > 0) {
    query.nearlyComplete = query.open <= lastLegCount(query);
    setHedgeTimer(state, query, at, effects);
  }
};

const isWorthHedging = (
  state: CoreState,
  query: ActiveQuery,
  record: AttemptRecord,
  at: number,
): boolean =>
  state.query.policy.hedging === 'fixed' ||
  query.nearlyComplete ||
  isSilent(record.target.observed, at);

/** Spends a token on a hedge, on credit if the replica is silent; `fixed` hedging needs no token. */
const payForHedge = (
  state: CoreState,
  query: ActiveQuery,
  record: AttemptRecord,
  at: number,
): boolean => {
  const { budget } = query.observed;
  if (state.query.policy.hedging === 'fixed') {
    return true;
  }
  return isSilent(record.target.observed, at)
    ? spendExtraLoadOnCredit(budget)
    : spendExtraLoad(budget);
};

const chooseHedges = (state: CoreState, query: ActiveQuery, at: number): ChosenLeg[] => {
  const chosen: ChosenLeg[] = [];
  const ratio = hedgeRatio(query);
  for (const leg of query.legs) {
    const record = findHedgeableAttempt(leg);
    if (record === undefined || hedgeDueAt(state, leg, record, ratio) > at) {
      continue;
    }
    const target = isWorthHedging(state, query, record, at)
      ? selectHedgeReplica(state, leg, at)
      : undefined;
    if (target === undefined) {
      continue;
    }
    if (!payForHedge(state, query, record, at)) {
      break;
    }
    chosen.push({ leg, target, purpose: 'hedge' });
  }
  return chosen;
};

/** Minimum time between two checks for late legs of a query, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 2;

/** Hedges the legs that are late and sets the timer for the next check. */
export const hedgeLegs = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  query.hedgeArmed = false;
  sendChosen(state, query, chooseHedges(state, query, at), at, effects);
  const pause = Math.max(MIN_CHECK_INTERVAL_MS, (at - query.startedAt) / 4);
  setHedgeTimer(state, query, at + pause, effects);
};

/** Checks for late legs at once when the last answer made the query nearly complete. */
export const hedgeWhenNearlyComplete = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  if (query.nearlyComplete || query.open > lastLegCount(query) || !mayHedge(state, query)) {
    return;
  }
  query.nearlyComplete = true;
  hedgeLegs(state, query, at, effects);
};
