/**
 * Ends the wait for legs without hope: a query whose open legs all lie at replicas that seem unable to
 * answer is answered before its deadline, with what it has. The attempts themselves are made as ever,
 * and one that is answered in time brings its replica back.
 */
import type { CoreState } from '../state.js';
import type { ActiveQuery, LegState } from './active-query.js';
import { hasAvailableReplica } from './select-replica.js';

/** Share of a query's time after which it is looked at, again and again. */
const CHECK_INTERVAL_SHARE = 0.25;
/** Mean latencies of its service that a leg is given at least. */
const MIN_LATENCIES = 4;

/** When the query is looked at next: its deadline at the latest. */
export const nextCheckAt = (query: ActiveQuery, at: number): number =>
  Math.min(query.deadlineAt, at + CHECK_INTERVAL_SHARE * (query.deadlineAt - query.startedAt));

const isUnanswerable = (
  state: CoreState,
  query: ActiveQuery,
  leg: LegState,
  at: number,
): boolean => {
  const minimum = MIN_LATENCIES * leg.shard.observed.latencyMs;
  if (
    leg.outstanding === 0 ||
    at - query.startedAt < minimum ||
    hasAvailableReplica(state, leg, at)
  ) {
    return false;
  }
  return leg.attempts.every((record) => record.ended || record.target.observed.ejected);
};

/** Whether nothing that is still open can be expected to be answered. */
export const areOpenLegsUnanswerable = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
): boolean =>
  query.phase === 'running' &&
  query.row.safeToRepeat &&
  query.legs.every((leg) => leg.status !== 'open' || isUnanswerable(state, query, leg, at));
