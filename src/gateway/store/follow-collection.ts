/**
 * Follows one collection of the store: lists it, then watches it from the revision of the list, and lists it again when a
 * watch breaks or the store has discarded the history since that revision. The first list of a process may be a stale
 * read: it is cheap and serves until a reader or the store itself provides newer objects.
 */
import type { GatewayEffect } from '../effect.js';
import type { GatewayBounds } from '../settings.js';
import type { CollectionCall, CollectionName } from './collection.js';
import {
  compareEras,
  comparePositions,
  type StoreEra,
  type StorePosition,
} from './store-position.js';

/**
 * How long a watch waits at the store if no time bound applies to the changes of its collection, in milliseconds; probes
 * detect the loss of the store earlier.
 */
const MAX_WATCH_WAIT_MS = 25_000;

/**
 * Longest wait of a watch, as a fraction of the time within which a change must be acted on. A silent connection looks the
 * same as a watch that waits, and probes over another connection still succeed, so only the end of the wait reveals the
 * loss. With bounds of 5 s a change behind a silent connection is read after at most 3.6 s; the rest of the time is for
 * sending it to the other gateways.
 */
const WATCH_WAIT_SHARE = 0.5;

/**
 * Pause between two watches of a collection, as a fraction of the time within which a change must be in force. Changes in
 * quick succession are read with one call, and each call to the store is paid for. The rest of the time covers detection
 * of an unreachable store (see `probe-store.ts`) and late answers.
 */
const WATCH_GAP_SHARE = 0.25;

/** Time allowed for an answer in addition to the requested wait, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** State of following one collection. */
export interface CollectionProgress {
  readonly collection: CollectionName;
  /** How long its watches wait at the store, in milliseconds. */
  readonly waitMs: number;
  /** How long the next watch waits, in milliseconds; a pause before it is subtracted. */
  nextWaitMs: number;
  /** All changes up to this revision are known; undefined before the first list from the store or a reader. */
  revision: number | undefined;
  /** Era of the revision, or of the objects that were applied last. */
  era: StoreEra;
  /** Changes after the revision may have been missed: the next call lists the collection. */
  mustList: boolean;
  /** The next page of the list begins after this name; undefined between lists. */
  listAfter: string | undefined;
  /** Names seen in the list so far. */
  listed: Set<string>;
  /** Revision of the first page of the list; later changes are read by the watch that follows. */
  listRevision: number;
  /** Era of the first page of the list. */
  listEra: StoreEra;
  /** The current list is read with stale reads. */
  isStaleList: boolean;
  /** Names of objects that the pages of the list have changed so far; sent to followers when the list is complete. */
  pendingNames: Set<string>;
  /** A list has been read completely, possibly a stale one. */
  isListed: boolean;
  /** Number of consecutive failed calls. */
  failures: number;
  /** Number of consecutive watches that ended without an answer; lists in between do not reset it. */
  brokenWatches: number;
  /**
   * When an answer of the store, or a reader that is current, last confirmed that the collection is up to date. A watch
   * that is still waiting confirms nothing.
   */
  confirmedAt: number;
}

/** Time within which all gateways must act on a change of a collection, in milliseconds. */
const propagationBoundMs = (collection: CollectionName, bounds: GatewayBounds): number => {
  const { drainMs, configurationMs, evacuationMs = configurationMs } = bounds;
  switch (collection) {
    case 'replicas':
      return drainMs;
    case 'evacuations':
      return evacuationMs;
    default:
      return configurationMs;
  }
};

/** Wait of the watches of a collection, in milliseconds. No time bound applies to changes of the gateways. */
const watchWaitMs = (collection: CollectionName, bounds: GatewayBounds): number =>
  collection === 'gateways'
    ? MAX_WATCH_WAIT_MS
    : Math.min(
        MAX_WATCH_WAIT_MS,
        Math.floor(propagationBoundMs(collection, bounds) * WATCH_WAIT_SHARE),
      );

/** Creates the progress of a collection that has not been read. */
export const createCollectionProgress = (
  collection: CollectionName,
  bounds: GatewayBounds,
): CollectionProgress => ({
  collection,
  waitMs: watchWaitMs(collection, bounds),
  nextWaitMs: watchWaitMs(collection, bounds),
  revision: undefined,
  era: undefined,
  mustList: false,
  listAfter: undefined,
  listed: new Set(),
  listRevision: Number.POSITIVE_INFINITY,
  listEra: undefined,
  isStaleList: true,
  pendingNames: new Set(),
  isListed: false,
  failures: 0,
  brokenWatches: 0,
  confirmedAt: Number.NEGATIVE_INFINITY,
});

/** Position up to which the collection is known; undefined if no revision is known. */
export const positionOf = ({ revision, era }: CollectionProgress): StorePosition | undefined =>
  revision === undefined ? undefined : { era, revision };

/**
 * Whether the known objects of the collection are of an earlier era than `now`. A watch cannot return what was written since
 * the era changed.
 */
export const isOfEarlierEra = ({ isListed, era }: CollectionProgress, now: StoreEra): boolean =>
  isListed && compareEras(era, now) < 0;

const nextCall = (progress: CollectionProgress): CollectionCall => {
  const { collection, revision, mustList, listAfter, isStaleList: stale } = progress;
  if (revision === undefined || mustList) {
    const after = listAfter === undefined ? {} : { after: listAfter };
    return { type: 'list', collection, ...after, stale, timeoutMs: RESPONSE_TIMEOUT_MS };
  }
  const { nextWaitMs: waitMs } = progress;
  return { type: 'watch', collection, revision, waitMs, timeoutMs: waitMs + RESPONSE_TIMEOUT_MS };
};

/** Issues the next call for the collection immediately. */
export const callNow = (progress: CollectionProgress): GatewayEffect => ({
  type: 'call-store',
  call: nextCall(progress),
});

/** Resets the state of the current list. */
const resetList = (progress: CollectionProgress): void => {
  progress.mustList = false;
  progress.isStaleList = false;
  progress.listAfter = undefined;
  progress.listed = new Set();
  progress.listRevision = Number.POSITIVE_INFINITY;
  progress.nextWaitMs = progress.waitMs;
};

/** Makes the next call begin a list. Known objects stay in use until the list is complete. */
export const beginList = (progress: CollectionProgress): void => {
  resetList(progress);
  progress.mustList = true;
};

/** Begins a new list with stale reads. */
export const listStale = (progress: CollectionProgress): GatewayEffect => {
  resetList(progress);
  progress.revision = undefined;
  progress.isStaleList = true;
  return callNow(progress);
};

/** Follows the collection from its known position. A collection from a stale list or an earlier era is listed again. */
export const followNow = (progress: CollectionProgress, era: StoreEra): GatewayEffect => {
  if (progress.revision === undefined || isOfEarlierEra(progress, era)) {
    beginList(progress);
  }
  return callNow(progress);
};

/** Restarts a list whose pages are of different eras, since these are not consistent with each other. */
export const restartList = (progress: CollectionProgress): GatewayEffect => {
  if (progress.isStaleList) {
    return listStale(progress);
  }
  beginList(progress);
  return callNow(progress);
};

/** Whether the list continues with a page of another era than its first page. */
export const hasListMixedEras = (
  { listAfter, listEra }: CollectionProgress,
  era: StoreEra,
): boolean => listAfter !== undefined && listEra !== era;

/** Whether a page is older than a reader's updates since the list began; applying it would restore outdated objects. */
export const isSuperseded = (progress: CollectionProgress, page: StorePosition): boolean => {
  const known = positionOf(progress);
  return known !== undefined && (progress.isStaleList || comparePositions(page, known) < 0);
};

/** Whether a reader's updates are newer than the first page of the list; objects that the list lacks may be new. */
export const isListSuperseded = (progress: CollectionProgress, era: StoreEra): boolean => {
  const known = positionOf(progress);
  const { listRevision: revision } = progress;
  return known !== undefined && comparePositions({ era, revision }, known) < 0;
};

/** Discards a superseded list; the reader's updates already contain all of its changes. */
export const endSupersededList = (progress: CollectionProgress): void => {
  resetList(progress);
  progress.failures = 0;
  progress.pendingNames.clear();
};

/** Returns the pending names together with `names`, and clears the pending ones. */
export const takePendingNames = (
  progress: CollectionProgress,
  names: readonly string[],
): ReadonlySet<string> => {
  const allNames = new Set([...progress.pendingNames, ...names]);
  progress.pendingNames.clear();
  return allNames;
};

/**
 * Stops following the collection. If its list was only partly read, its objects are of two revisions: the revision is
 * cleared, so that a reader sends the whole collection.
 */
export const stopFollowing = (progress: CollectionProgress): void => {
  if (progress.listAfter !== undefined) {
    progress.revision = undefined;
    progress.pendingNames.clear();
  }
  const { mustList } = progress;
  resetList(progress);
  progress.mustList = mustList;
};

/** The parts of a page that determine how the list continues. */
interface ListPage {
  readonly more: boolean;
  readonly last: string;
  readonly revision: number;
  readonly era: StoreEra;
}

/**
 * Records a page of the list. Returns the names of all listed objects when the list is complete, otherwise undefined. The
 * pages are of different revisions, and the collection is known only up to the revision of the first one.
 */
export const recordPage = (
  progress: CollectionProgress,
  names: readonly string[],
  page: ListPage,
  at: number,
): ReadonlySet<string> | undefined => {
  progress.failures = 0;
  names.forEach((name) => progress.listed.add(name));
  progress.listRevision = Math.min(progress.listRevision, page.revision);
  progress.listEra = page.era;
  if (page.more) {
    progress.listAfter = page.last;
    return undefined;
  }
  const { listed, listRevision, isStaleList } = progress;
  resetList(progress);
  progress.isListed = true;
  progress.era = page.era;
  if (isStaleList) {
    progress.revision = undefined;
  } else {
    progress.revision = listRevision;
    progress.confirmedAt = at;
  }
  return listed;
};

/** Schedules the next watch: after a pause if the last one returned changes, otherwise immediately. */
export const scheduleNextWatch = (
  progress: CollectionProgress,
  hasChanges: boolean,
  bounds: GatewayBounds,
  at: number,
): GatewayEffect => {
  const { collection, waitMs } = progress;
  progress.nextWaitMs = waitMs;
  progress.brokenWatches = 0;
  if (!hasChanges || progress.mustList) {
    return callNow(progress);
  }
  const gapMs = propagationBoundMs(collection, bounds) * WATCH_GAP_SHARE;
  progress.nextWaitMs = Math.floor(waitMs - gapMs);
  return { type: 'set-collection-timer', collection, at: at + gapMs };
};
