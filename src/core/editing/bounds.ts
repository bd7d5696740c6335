/** Bounds of the editing slice. */

/** Longest a node works on an edit, in milliseconds; then its fate is told as unknown. */
export const EDIT_DEADLINE_MS = 20_000;
/** Most edits a node works on at once. */
export const EDITS_IN_PROGRESS_LIMIT = 64;
/** Most deliveries of one edit that wait for its outcome together. */
export const CALLS_PER_EDIT_LIMIT = 16;
/** Longest wait before the first retry after a failure of the store, in milliseconds. */
export const FAILURE_BACKOFF_BASE_MS = 200;
/** Longest wait before any retry after a failure of the store, in milliseconds. */
export const FAILURE_BACKOFF_LIMIT_MS = 5_000;
/** Longest wait before the first retry after a refused compare-and-set, in milliseconds. */
export const CONTENTION_BACKOFF_BASE_MS = 10;
/** Longest wait before any retry after a refused compare-and-set, in milliseconds. */
export const CONTENTION_BACKOFF_LIMIT_MS = 500;
/** A write without an answer is read back after at most this long, in milliseconds; then it doubles. */
export const READ_BACK_BASE_MS = 250;
/** Longest wait before a write without an answer is read back once more, in milliseconds. */
export const READ_BACK_LIMIT_MS = 2_000;
/** Legs of a service a node must have seen before it warns by their mean time. */
export const MIN_LEGS_FOR_MEAN = 20;
