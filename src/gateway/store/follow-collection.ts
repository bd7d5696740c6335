/**
 * Follows one collection of the store: lists it, then watches it from the revision of the list, and
 * lists it again when a watch was cut or the store has forgotten the history since. The first list of a
 * process comes from a copy that may be old: it is cheap and serves until a reader, or the store itself, tells
 * what is new.
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
 * How long a watch waits at the store where nothing depends on hearing of a change in time, in
 * milliseconds; probes find out earlier if the store is lost.
 */
const MAX_WATCH_WAIT_MS = 25_000;

/**
 * A watch waits for no longer than this part of the time within which a change must be acted on. A
 * connection that has gone silent looks like a watch that waits, and probes over another one are answered:
 * only the end of the wait tells. With bounds of 5 s a change behind a silent connection is read after 3.6 s
 * at most; the rest is for telling it to the other gateways.
 */
const WATCH_WAIT_SHARE = 0.5;

/**
 * Pause between two watches of a collection, as a part of the time within which a change must be in
 * force: changes that come together are read together, and each call to the store is paid for. The rest
 * of the time is for a store that is found out of reach (see `probe-store.ts`) and answers late. What a
 * quarter saves of the calls stands in docs/policy.md.
 */
const WATCH_GAP_SHARE = 0.25;

/** Time for an answer beyond what the store was asked to wait, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** How far one collection has been read. */
export interface CollectionProgress {
  readonly collection: CollectionName;
  /** How long its watches wait at the store, in milliseconds. */
  readonly waitMs: number;
  /** How long the next one waits: a pause before it counts as waiting too. */
  nextWaitMs: number;
  /** All changes up to this revision are held; undefined before the first list from the store or a reader. */
  revision: number | undefined;
  /** The era of the revision, or of what was known last. */
  era: StoreEra;
  /** Changes after the revision may have been missed: the next call lists the collection. */
  mustList: boolean;
  /** The list goes on after this name. */
  listAfter: string | undefined;
  /** Names seen in the list so far. */
  listed: Set<string>;
  /** Revision at which the list began: what has changed while its pages were read is watched for. */
  listRevision: number;
  /** Era in which its first page was read. */
  listEra: StoreEra;
  /** The list that is being read comes from a copy that may be old. */
  isStaleList: boolean;
  /** Names of what the pages of the list have changed so far; followers are told when it is complete. */
  pendingNames: Set<string>;
  /** A list has been read to its end, if only an old one. */
  isListed: boolean;
  /** Calls that failed in a row. */
  failures: number;
  /** Watches that ended without an answer in a row, whatever lists between them came to. */
  brokenWatches: number;
  /**
   * When an answer of the store, or a reader that is current, last showed that nothing newer is known there.
   * A watch that waits shows nothing.
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

/** Nothing has to be done in time when a gateway comes or goes. */
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

/** Up to where the collection is known; undefined where that cannot be said. */
export const positionOf = ({ revision, era }: CollectionProgress): StorePosition | undefined =>
  revision === undefined ? undefined : { era, revision };

/** Whether what is known of the collection is of an earlier era: what has been written since cannot be watched for. */
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

/** Makes the next call for the collection at once. */
export const callNow = (progress: CollectionProgress): GatewayEffect => ({
  type: 'call-store',
  call: nextCall(progress),
});

/** Forgets a list that was begun. */
const resetList = (progress: CollectionProgress): void => {
  progress.mustList = false;
  progress.isStaleList = false;
  progress.listAfter = undefined;
  progress.listed = new Set();
  progress.listRevision = Number.POSITIVE_INFINITY;
  progress.nextWaitMs = progress.waitMs;
};

/** The next call begins a list; what is known stays known until it is complete. */
export const beginList = (progress: CollectionProgress): void => {
  resetList(progress);
  progress.mustList = true;
};

/** Reads a new list from a copy that may be old. */
export const listStale = (progress: CollectionProgress): GatewayEffect => {
  resetList(progress);
  progress.revision = undefined;
  progress.isStaleList = true;
  return callNow(progress);
};

/** Follows the collection at the store from what is known of it; an old list, or one of an earlier era, is read anew. */
export const followNow = (progress: CollectionProgress, era: StoreEra): GatewayEffect => {
  if (progress.revision === undefined || isOfEarlierEra(progress, era)) {
    beginList(progress);
  }
  return callNow(progress);
};

/** Begins again a list whose pages are of different eras: they do not fit together. */
export const restartList = (progress: CollectionProgress): GatewayEffect => {
  if (progress.isStaleList) {
    return listStale(progress);
  }
  beginList(progress);
  return callNow(progress);
};

/** Whether the list goes on with a page of another era than it began with. */
export const hasListMixedEras = (
  { listAfter, listEra }: CollectionProgress,
  era: StoreEra,
): boolean => listAfter !== undefined && listEra !== era;

/** Whether a page is older than what a reader has told since the list began: it must bring nothing back. */
export const isSuperseded = (progress: CollectionProgress, page: StorePosition): boolean => {
  const known = positionOf(progress);
  return known !== undefined && (progress.isStaleList || comparePositions(page, known) < 0);
};

/** Whether a reader has told more than the first page of the list held: what the list lacks may be new. */
export const isListSuperseded = (progress: CollectionProgress, era: StoreEra): boolean => {
  const known = positionOf(progress);
  const { listRevision: revision } = progress;
  return known !== undefined && comparePositions({ era, revision }, known) < 0;
};

/** Gives up a list that was superseded: what was told holds all that it could. */
export const endSupersededList = (progress: CollectionProgress): void => {
  resetList(progress);
  progress.failures = 0;
  progress.pendingNames.clear();
};

/** The names that followers have not been told, which are told now. */
export const takePendingNames = (
  progress: CollectionProgress,
  names: readonly string[],
): ReadonlySet<string> => {
  const untold = new Set([...progress.pendingNames, ...names]);
  progress.pendingNames.clear();
  return untold;
};

/**
 * The collection is no longer followed. One whose list was half read is known from two revisions at once: it
 * counts as unread, so that a reader tells all of it.
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

/** A page of a list, as far as following it is concerned. */
interface ListPage {
  readonly more: boolean;
  readonly last: string;
  readonly revision: number;
  readonly era: StoreEra;
}

/**
 * Notes a page of the list; returns the names that the list holds when it is complete. The pages stand at
 * different revisions, and the collection is known up to that of the first one only.
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

/** Pauses before the next watch after one that returned changes. */
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
