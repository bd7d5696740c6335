/** Records failed calls for a collection and determines when and how the next call is made. */
import type { Random } from '../../core/random.js';
import { beginList, type CollectionProgress } from './follow-collection.js';

/** Pauses after failed calls, in milliseconds; doubled after each failure up to the maximum. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** Consecutive failures that count as repeated; a single watch may break without a lasting fault. */
const REPEATED_FAILURES = 2;

/** Whether calls for a collection fail repeatedly, although the store may answer other calls. */
export const hasRepeatedFailures = ({ failures }: CollectionProgress): boolean =>
  failures >= REPEATED_FAILURES;

/** Whether the collection is watched; changes that a watch misses would go unnoticed. */
export const isWatched = ({ revision, mustList }: CollectionProgress): boolean =>
  revision !== undefined && !mustList;

/**
 * How a call failed. `no-answer`: a reachable store did not answer it; `refused`: the store answered with an error or
 * a malformed body; `unreachable`: the store is known to be unreachable.
 */
export type CallFailure = 'no-answer' | 'refused' | 'unreachable' | 'history-gone';

/** When the next call for the collection is made, and whether the other collections are listed as well. */
export interface NextCall {
  readonly at: number;
  readonly relistsOthers: boolean;
}

/**
 * Records a failed call. A watch that breaks may have missed changes, and a store that is about to discard its history may
 * accept a new watch from the same revision and send nothing: only a list shows the current objects. Resuming the watch
 * instead kept a zone outdated for the whole wait of a watch in one of thirty interruptions.
 * After an outage of the store the watch is resumed, since otherwise all readers would list at the same time.
 */
export const recordFailure = (
  progress: CollectionProgress,
  failure: CallFailure,
  random: Random,
  at: number,
): NextCall => {
  const isWatch = isWatched(progress);
  const isHistoryGone = failure === 'history-gone';
  const isBroken = isWatch && (isHistoryGone || failure === 'no-answer');
  const relistsOthers = isBroken && progress.brokenWatches === 0;
  const failuresInRow = Math.max(progress.failures, progress.brokenWatches);
  if (isBroken || isHistoryGone) {
    beginList(progress);
  }
  progress.brokenWatches += Number(isBroken);
  progress.failures = isHistoryGone ? 0 : progress.failures + 1;
  if (isHistoryGone && failuresInRow === 0) {
    return { at, relistsOthers };
  }
  const backoff = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failuresInRow);
  return { at: at + backoff * (0.5 + random.next()), relistsOthers };
};
