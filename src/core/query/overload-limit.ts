/**
 * Limits the queries of a row in progress when its legs wait long at their feeders. Queries beyond the
 * capacity of the back ends are refused as a whole before any leg is sent; otherwise each query would
 * be answered only in part. There is no limit until legs have waited. The first limit is derived from
 * the queries in progress; it decreases by a factor and increases in small steps.
 */
import type { Random } from '../random.js';
import type { RouteRow } from '../../table/route-row.js';

/** Minimum of the limit. */
const MIN_LIMIT = 2;
/** Share of the row's deadline that a leg may wait at its feeder without counting as overload. */
const WAIT_SHARE = 0.25;
/** Waits up to this never count as overload, in milliseconds. */
const MIN_WAIT_MS = 10;
/** The limit decreases by this factor, at most once in `MIN_DECREASE_INTERVAL_MS` milliseconds. */
const DECREASE_FACTOR = 0.8;
const MIN_DECREASE_INTERVAL_MS = 50;
/** The limit increases only while at least this share of it is in use. */
const BUSY_SHARE = 0.8;
/** Increase of the limit per ended query: it grows by 10% while as many queries end as it allows. */
const GROWTH_STEP = 0.1;
/** Time without a decrease after which the limit is removed, in milliseconds. */
const LIFT_AFTER_MS = 5_000;
/** Minimum delay before a refused caller may retry, in milliseconds; jitter adds up to as much again. */
const RETRY_AFTER_MS = 100;

/** The overload limit of one row at this node. */
export interface OverloadLimit {
  /** Maximum of queries in progress; infinite while there is no overload. */
  limit: number;
  /** Queries of the row in progress. */
  inProgress: number;
  decreasedAt: number;
}

/** Creates the limit of an unused row. */
export const createOverloadLimit = (): OverloadLimit => ({
  limit: Number.POSITIVE_INFINITY,
  inProgress: 0,
  decreasedAt: Number.NEGATIVE_INFINITY,
});

/** Whether one more query may start. */
export const isBelowLimit = (overload: OverloadLimit): boolean =>
  overload.inProgress < Math.max(MIN_LIMIT, Math.floor(overload.limit));

/** Returns the time after which a refused caller may retry, in milliseconds, with jitter. */
export const chooseRetryDelay = (random: Random): number =>
  Math.ceil(RETRY_AFTER_MS * (1 + random.next()));

/** Records that a query has started. */
export const recordQueryStarted = (overload: OverloadLimit): void => {
  overload.inProgress += 1;
};

/** Records overload, such as a leg refused for lack of capacity, and decreases the limit. */
export const recordCongestion = (overload: OverloadLimit, at: number): void => {
  if (at - overload.decreasedAt < MIN_DECREASE_INTERVAL_MS) {
    return;
  }
  const current = Math.min(overload.limit, overload.inProgress);
  overload.limit = Math.max(MIN_LIMIT, current * DECREASE_FACTOR);
  overload.decreasedAt = at;
};

/** Records how long a leg waited at its feeder, in milliseconds; a long wait counts as overload. */
export const recordLegWait = (
  overload: OverloadLimit,
  row: RouteRow,
  waitMs: number,
  at: number,
): void => {
  if (waitMs > MIN_WAIT_MS && waitMs > WAIT_SHARE * row.deadlineMs) {
    recordCongestion(overload, at);
  }
};

/** Records that a query has ended; may increase or remove the limit. */
export const recordQueryEnded = (overload: OverloadLimit, at: number): void => {
  const busy = overload.inProgress >= overload.limit * BUSY_SHARE;
  overload.inProgress -= 1;
  const sinceMs = at - overload.decreasedAt;
  if (sinceMs > LIFT_AFTER_MS) {
    overload.limit = Number.POSITIVE_INFINITY;
  } else if (busy && sinceMs >= MIN_DECREASE_INTERVAL_MS) {
    overload.limit += GROWTH_STEP;
  }
};
