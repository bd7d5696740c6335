/**
 * Refuses queries of a row early when its legs wait long at their feeders. Queries beyond what the
 * back ends can finish are refused as a whole before any leg is sent, instead of each of them being
 * carried out in part. There is no limit until legs have waited; then it is cut from the queries in
 * progress, shrinks by a factor and grows by small steps.
 */
import type { Random } from '../random.js';
import type { RouteRow } from '../../table/route-row.js';

/** A limit never goes below this. */
const MIN_LIMIT = 2;
/** Share of the row's deadline that its legs may wait at feeders. */
const WAIT_SHARE = 0.25;
/** Shortest wait that counts as overload, in milliseconds. */
const MIN_WAIT_MS = 10;
/** The limit shrinks by this factor, at most once in `PAUSE_MS` milliseconds. */
const DECREASE_FACTOR = 0.8;
const MIN_DECREASE_INTERVAL_MS = 50;
/** The limit grows only while this share of it is in use. */
const BUSY_SHARE = 0.8;
/** Share of itself by which the limit grows while as many queries end as it allows. */
const GROWTH_STEP = 0.1;
/** A limit that has not shrunk for so long, in milliseconds, is lifted. */
const LIFT_AFTER_MS = 5_000;
/** A refused caller may come back after this many milliseconds, spread by as much again. */
const RETRY_AFTER_MS = 100;

/** The limit of one row at this node. */
export interface OverloadLimit {
  /** Infinite until the row has been overloaded. */
  limit: number;
  /** Queries of the row in progress. */
  inProgress: number;
  decreasedAt: number;
}

/** Creates the limit of a row that has not been used. */
export const createOverloadLimit = (): OverloadLimit => ({
  limit: Number.POSITIVE_INFINITY,
  inProgress: 0,
  decreasedAt: Number.NEGATIVE_INFINITY,
});

/** Whether one more query may start. */
export const isBelowLimit = (overload: OverloadLimit): boolean =>
  overload.inProgress < Math.max(MIN_LIMIT, Math.floor(overload.limit));

/** When a refused caller may come back, in milliseconds. */
export const chooseRetryDelay = (random: Random): number =>
  Math.ceil(RETRY_AFTER_MS * (1 + random.next()));

/** Notes that a query has started. */
export const recordQueryStarted = (overload: OverloadLimit): void => {
  overload.inProgress += 1;
};

/** Notes that a leg was refused for want of capacity. */
export const recordCongestion = (overload: OverloadLimit, at: number): void => {
  if (at - overload.decreasedAt < MIN_DECREASE_INTERVAL_MS) {
    return;
  }
  const current = Math.min(overload.limit, overload.inProgress);
  overload.limit = Math.max(MIN_LIMIT, current * DECREASE_FACTOR);
  overload.decreasedAt = at;
};

/** Notes how long a leg waited at its feeder. */
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

/** Notes that a query has ended. */
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
