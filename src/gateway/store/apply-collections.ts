/** Handles the results of calls to the store and issues the next calls. */
import { recordUnreadable } from '../authorization/unreadable-configuration.js';
import type { GatewayEffect } from '../effect.js';
import type { ChangesRead, CollectionDue, PageRead, StoreCallFailed } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import {
  registerIfMissing,
  delayRegistration,
  handleGatewaysListed,
} from '../peers/follow-gateways.js';
import { publishChanges, publishNamed } from '../readers/publish-to-followers.js';
import { keepUnlisted, withholdOlder } from '../returns/record-unconfirmed.js';
import { completeRestore } from '../returns/record-era.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects, removeUnlistedObjects, removeGoneReplicas } from './apply-objects.js';
import type { CollectionName } from './collection.js';
import {
  beginList,
  callNow,
  type CollectionProgress,
  endSupersededList,
  followNow,
  isListSuperseded,
  hasListMixedEras,
  isOfEarlierEra,
  isSuperseded,
  restartList,
  listStale,
  recordPage,
  positionOf,
  takePendingNames,
  scheduleNextWatch,
} from './follow-collection.js';
import { type CallFailure, isWatched, recordFailure } from './record-failure.js';
import { changedNames, unlistedNames, withMissing } from './list-changes.js';
import { compareEras, type StorePosition } from './store-position.js';

/** Lists all collections once, with reads that may be stale. */
export const listCollections = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state).map((name) => listStale(state.collections[name]));

/** Starts watching a listed collection, on gateways that read the store. */
const continueAfterList = (
  { reading, store }: GatewayState,
  progress: CollectionProgress,
): GatewayEffect[] => (reading.isReading ? [followNow(progress, store.era)] : []);

/**
 * Discards a list that a reader's updates have superseded: objects that it lacks may be new, and objects that it holds may
 * be outdated. Followers have already received everything that the list changed.
 */
const discardList = (
  state: GatewayState,
  progress: CollectionProgress,
  { page: { revision }, era }: PageRead,
): GatewayEffect[] => {
  const { collection, revision: knownRevision } = progress;
  endSupersededList(progress);
  const change: StateChange = {
    event: 'list-dropped',
    collection,
    revision,
    era,
    ...(knownRevision !== undefined && { knownRevision }),
  };
  return [
    { type: 'write-log', level: 'info', part: 'store', change },
    ...continueAfterList(state, progress),
  ];
};

/** Handles `page-read`. */
export const handlePageRead = (state: GatewayState, read: PageRead): GatewayEffect[] => {
  const { page, at, era = state.store.era } = read;
  const { revision } = page;
  const progress = state.collections[page.collection];
  if (hasListMixedEras(progress, era)) {
    return [restartList(progress)];
  }
  if (isSuperseded(progress, { era, revision })) {
    return discardList(state, progress, read);
  }
  changedNames(state, page).forEach((name) => progress.pendingNames.add(name));
  const isNewEra = isOfEarlierEra(progress, era);
  const applied = applyObjects(state, withholdOlder(state, page, at), at, 'store');
  if (isListSuperseded(progress, era)) {
    return [...applied, ...discardList(state, progress, read)];
  }
  const before = positionOf(progress);
  const names = page.objects.map(({ name }) => name);
  const listed = recordPage(progress, names, { ...page, era }, at);
  return listed === undefined
    ? [...applied, callNow(progress)]
    : [...applied, ...handleListComplete(state, progress, { listed, isNewEra, before }, at)];
};

/** A list whose last page has been read. */
interface CompleteList {
  readonly listed: ReadonlySet<string>;
  /** It is the first complete list since the store was restored from a backup. */
  readonly isNewEra: boolean;
  /** Position up to which the collection was known before the list. */
  readonly before: StorePosition | undefined;
}

const handleListComplete = (
  state: GatewayState,
  progress: CollectionProgress,
  { listed, isNewEra, before }: CompleteList,
  at: number,
): GatewayEffect[] => {
  const { collection } = progress;
  const unlisted = unlistedNames(
    state,
    collection,
    isNewEra ? listed : withMissing(state, collection, listed),
  );
  const changed = takePendingNames(progress, unlisted);
  if (isNewEra) {
    keepUnlisted(state, collection, listed, at);
    delayRegistration(state, collection, at);
  }
  const removed = removeUnlistedObjects(
    state,
    collection,
    withMissing(state, collection, listed),
    at,
  );
  const settled = collection === 'gateways' ? handleGatewaysListed(state, at) : [];
  return [
    ...removed,
    ...publishNamed(state, collection, changed, before, at),
    ...settled,
    ...completeRestore(state, at),
    ...continueAfterList(state, progress),
  ];
};

/**
 * Handles `changes-read`. A reader may have sent later changes in the meantime, so the result of a watch is discarded
 * unless its revision is higher. After an era change the collection is listed instead: the restored store assigns revisions
 * again that it had assigned before, and a watch that began in the earlier era misses what was written under them.
 */
export const handleChangesRead = (state: GatewayState, read: ChangesRead): GatewayEffect[] => {
  const { changes, at, era = state.store.era } = read;
  const progress = state.collections[changes.collection];
  if (compareEras(era, progress.era) !== 0) {
    return [followNow(progress, state.store.era)];
  }
  const { revision: known = Number.NEGATIVE_INFINITY } = progress;
  const isNewer = changes.revision > known;
  progress.failures = 0;
  if (isNewer) {
    recordUnreadable(state, changes, { era, revision: known });
    progress.revision = changes.revision;
  }
  const effects = isNewer
    ? [
        ...applyObjects(state, changes, at, 'store'),
        ...publishChanges(state, changes, { era, revision: known }, at),
      ]
    : [];
  progress.confirmedAt = at;
  const hasChanges = changes.objects.length > 0;
  return [
    ...effects,
    ...removeGoneReplicas(state, at),
    ...(changes.collection === 'gateways' ? registerIfMissing(state, at) : []),
    scheduleNextWatch(progress, hasChanges, state.settings.bounds, at),
  ];
};

/**
 * Handles `store-call-failed`. While the store is unreachable it is only probed, since each call is paid for. Calls for the
 * collections resume after the first successful probe.
 */
export const handleStoreCallFailed = (
  state: GatewayState,
  { collection, problem, detail, at }: StoreCallFailed,
): GatewayEffect[] => {
  const progress = state.collections[collection];
  state.counters.storeFailures.add(collection, problem);
  const change: StateChange = { event: 'store-call-failed', collection, problem, detail };
  const log: GatewayEffect = { type: 'write-log', level: 'warn', part: 'store', change };
  const failure = failureOf(state, problem);
  const next = recordFailure(progress, failure, state.random, at);
  if (failure === 'unreachable') {
    return [log];
  }
  const again = next.at <= at ? [callNow(progress)] : setCollectionTimers([collection], next.at);
  const relisted = next.relistsOthers ? relistOthers(state, collection) : [];
  return [log, ...again, ...setCollectionTimers(relisted, next.at)];
};

const failureOf = ({ store }: GatewayState, problem: StoreCallFailed['problem']): CallFailure => {
  if (problem === 'history-gone') {
    return 'history-gone';
  }
  if (!store.reachable) {
    return 'unreachable';
  }
  return problem === 'no-answer' ? 'no-answer' : 'refused';
};

const setCollectionTimers = (collections: readonly CollectionName[], at: number): GatewayEffect[] =>
  collections.map((collection) => ({ type: 'set-collection-timer', collection, at }));

/**
 * Lists the other watched collections as well. The fault that broke one watch, or discarded the store's history, mostly
 * affects the watches of all collections, and a watch that was opened during the fault waits without reporting an error.
 */
const relistOthers = (state: GatewayState, failed: CollectionName): readonly CollectionName[] => {
  const { collections, reading } = state;
  const others = collectionsOf(state).filter(
    (name) => reading.isReading && name !== failed && isWatched(collections[name]),
  );
  others.forEach((name) => beginList(collections[name]));
  return others;
};

/** Whether this gateway calls the store for a collection: it reads the store, or has not listed the collection yet. */
const isCallNeeded = ({ reading }: GatewayState, { isListed }: CollectionProgress): boolean =>
  reading.isReading || !isListed;

/** Handles `collection-due`. */
export const handleCollectionDue = (
  state: GatewayState,
  { collection }: CollectionDue,
): GatewayEffect[] => {
  const progress = state.collections[collection];
  if (!state.store.reachable) {
    return [];
  }
  if (collection === 'gateways' && !state.gatewaysSettled) {
    return [listStale(progress)];
  }
  return isCallNeeded(state, progress) ? [callNow(progress)] : [];
};

/** Repeats the calls that were lost while the store was unreachable. */
export const resumeCollections = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state)
    .map((name) => state.collections[name])
    .filter((progress) => isCallNeeded(state, progress))
    .map((progress) =>
      state.reading.isReading ? followNow(progress, state.store.era) : callNow(progress),
    );
