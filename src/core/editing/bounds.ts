/** Limits and intervals of the editing slice. */

/** Maximum time a node works on an edit, in milliseconds; the outcome is then `unknown`. */
export const EDIT_DEADLINE_MS = 20_000;
/** Maximum number of edits in progress at a node. */
export const EDITS_IN_PROGRESS_LIMIT = 64;
/** Maximum number of calls that wait for the outcome of the same edit. */
export const CALLS_PER_EDIT_LIMIT = 16;
/** Maximum delay before the first retry after a store failure, in milliseconds. */
export const FAILURE_BACKOFF_BASE_MS = 200;
/** Maximum delay before any retry after a store failure, in milliseconds. */
export const FAILURE_BACKOFF_LIMIT_MS = 5_000;
/** Maximum delay before the first retry after a refused compare-and-set, in milliseconds. */
export const CONTENTION_BACKOFF_BASE_MS = 10;
/** Maximum delay before any retry after a refused compare-and-set, in milliseconds. */
export const CONTENTION_BACKOFF_LIMIT_MS = 500;
/**
 * Maximum delay before an unanswered write is first read back, in milliseconds; doubles each time.
 */
export const READ_BACK_BASE_MS = 250;
/** Maximum delay before any read-back of an unanswered write, in milliseconds. */
export const READ_BACK_LIMIT_MS = 2_000;
/** Minimum number of observed legs of a service before warnings use their mean latency. */
export const MIN_LEGS_FOR_MEAN = 20;
