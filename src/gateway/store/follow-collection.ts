/**
 * Follows one collection of the store: lists it, then watches it from the revision of the list, and
 * lists it again when the store has forgotten the history since.
 */
import type { GatewayEffect } from '../effect.js';
import type { Random } from '../../core/random.js';
import type { GatewayBounds } from '../settings.js';
import type { CollectionCall, CollectionName } from './collection.js';

/** How long a watch waits at the store, in milliseconds; probes find out earlier if it is lost. */
const WATCH_WAIT_MS = 25_000;

/**
 * Pause between two watches of a collection, as a part of the time within which a change must be in
 * force: changes that come together are read together, and each call to the store is paid for. The rest
 * of the time is for a store that is found out of reach (see `probe-store.ts`) and answers late. What a
 * quarter saves of the calls stands in docs/policy.md.
 */
const WATCH_GAP_SHARE = 0.25;

/** Time for an answer beyond what the store was asked to wait, in milliseconds. */
const ANSWER_MS = 1_000;

/** Pauses after failed calls, in milliseconds: doubled each time up to the longest. */
const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 800;

/** How far one collection has been read. */
export interface CollectionProgress {
  readonly collection: CollectionName;
  /** All changes up to this revision are held; undefined while the list is incomplete. */
  revision: number | undefined;
  /** The list goes on after this name. */
  listAfter: string | undefined;
  /** Names seen in the list so far. */
  listed: Set<string>;
  /** Calls that failed in a row. */
  failures: number;
  /** When the store last answered, on this process's clock. */
  answeredAt: number;
}

/** Creates the progress of a collection that has not been read. */
export const createCollectionProgress = (collection: CollectionName): CollectionProgress => ({
  collection,
  revision: undefined,
  listAfter: undefined,
  listed: new Set(),
  failures: 0,
  answeredAt: Number.NEGATIVE_INFINITY,
});

const nextCall = ({ collection, revision, listAfter }: CollectionProgress): CollectionCall => {
  if (revision === undefined) {
    const timeoutMs = ANSWER_MS;
    return listAfter === undefined
      ? { type: 'list', collection, timeoutMs }
      : { type: 'list', collection, after: listAfter, timeoutMs };
  }
  const timeoutMs = WATCH_WAIT_MS + ANSWER_MS;
  return { type: 'watch', collection, revision, waitMs: WATCH_WAIT_MS, timeoutMs };
};

/** Makes the next call for the collection at once. */
export const callNow = (progress: CollectionProgress): GatewayEffect => ({
  type: 'call-store',
  call: nextCall(progress),
});

/** Notes a page of the list; returns true when the list is complete. */
export const notePage = (
  progress: CollectionProgress,
  names: readonly string[],
  page: { readonly more: boolean; readonly last: string; readonly revision: number },
  at: number,
): boolean => {
  progress.failures = 0;
  progress.answeredAt = at;
  names.forEach((name) => progress.listed.add(name));
  if (page.more) {
    progress.listAfter = page.last;
    return false;
  }
  progress.listAfter = undefined;
  progress.revision = page.revision;
  return true;
};

/** Notes what a watch returned, and pauses before the next one. */
export const noteChanges = (
  progress: CollectionProgress,
  revision: number,
  hasChanges: boolean,
  bounds: GatewayBounds,
  at: number,
): GatewayEffect => {
  progress.failures = 0;
  progress.answeredAt = at;
  progress.revision = Math.max(progress.revision ?? 0, revision);
  if (!hasChanges) {
    return callNow(progress);
  }
  const { collection } = progress;
  const inForceWithinMs = collection === 'replicas' ? bounds.drainMs : bounds.configurationMs;
  const gapMs = inForceWithinMs * WATCH_GAP_SHARE;
  return { type: 'set-collection-timer', collection, at: at + gapMs };
};

/** Notes a failed call: lists again when the history is gone, and backs off. */
export const noteFailure = (
  progress: CollectionProgress,
  historyGone: boolean,
  random: Random,
  at: number,
): GatewayEffect => {
  const { collection } = progress;
  if (historyGone) {
    progress.revision = undefined;
    progress.listAfter = undefined;
    progress.listed.clear();
    progress.failures = 0;
    return callNow(progress);
  }
  const backoff = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** progress.failures);
  progress.failures += 1;
  const jittered = backoff * (0.5 + random.next());
  return { type: 'set-collection-timer', collection, at: at + jittered };
};
