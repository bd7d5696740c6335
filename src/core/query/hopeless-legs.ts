/**
 * Detects queries whose open legs all depend on replicas that seem unable to answer. Such a query is
 * answered before its deadline with the answers it has received. Attempts to these replicas are
 * still sent, and an answer in time makes the replica available again.
 */
import type { SetTimer } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, LegState } from './active-query.js';
import { hasAvailableReplica } from './select-replica.js';

/** Interval between two checks of a query, as a share of the time between its start and deadline. */
const CHECK_INTERVAL_SHARE = 0.25;
/** Minimum time a leg is given, in mean latencies of its service. */
const MIN_LATENCIES = 4;

/** Sets the timer of the query's next check, at its deadline at the latest. */
export const setCheckTimer = (query: ActiveQuery, at: number): SetTimer => {
  const interval = CHECK_INTERVAL_SHARE * (query.deadlineAt - query.startedAt);
  query.checkAt = Math.min(query.deadlineAt, at + interval);
  const key = { purpose: 'query-deadline', subject: query.request } as const;
  return { type: 'set-timer', key, at: query.checkAt };
};

/** Whether a leg has had long enough, by the latency of its service, that its attempts may be judged. */
export const hasLastedLong = ({ startedAt }: ActiveQuery, leg: LegState, at: number): boolean =>
  at - startedAt >= MIN_LATENCIES * leg.shard.observed.latencyMs;

const isUnanswerable = (
  state: CoreState,
  query: ActiveQuery,
  leg: LegState,
  at: number,
): boolean => {
  if (
    leg.outstanding === 0 ||
    !hasLastedLong(query, leg, at) ||
    hasAvailableReplica(state, leg, at)
  ) {
    return false;
  }
  return leg.attempts.every((record) => record.ended || record.target.observed.ejected);
};

/** Whether no answer can be expected for any open leg of a running query that is safe to repeat. */
export const areOpenLegsUnanswerable = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
): boolean =>
  query.phase === 'running' &&
  query.row.safeToRepeat &&
  query.legs.every((leg) => leg.status !== 'open' || isUnanswerable(state, query, leg, at));
