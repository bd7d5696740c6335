/**
 * Takes what a reader tells of the store, and passes it on: a gateway that reads for others may itself follow a
 * reader. Its own watch does not return what it has been told, and its followers believe that it is current.
 */
import type { GatewayEffect } from '../effect.js';
import type { ReaderUpdateReceived } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import {
  registerIfMissing,
  delayRegistration,
  handleGatewaysListed,
} from '../peers/follow-gateways.js';
import {
  awaitGone,
  awaitNames,
  awaitUnlisted,
  isKnownOrDeparted,
  withholdOlder,
} from '../returns/cross-era.js';
import { noteEra, noteReturnRead } from '../returns/note-era.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects, removeUnlistedObjects, forgetGoneReplicas } from '../store/apply-objects.js';
import {
  callNow,
  type CollectionProgress,
  isOfEarlierEra,
  positionOf,
} from '../store/follow-collection.js';
import { changedNames, unlistedNames, withMissing } from '../store/list-changes.js';
import type { Stored, StoreObjects } from '../store/store-objects.js';
import { comparePositions, type StorePosition } from '../store/store-position.js';
import { compareVersions } from './compare-versions.js';
import type { CollectionChanges, CollectionSnapshot, ReaderStatus } from './reader-news.js';
import type { Source } from './reading-state.js';
import { knownPositions, tellChanges, tellNamed } from './tell-followers.js';

/** What is told twice is dropped without a word; what is older than what is known is worth a line. */
const dropNews = (
  { collections }: GatewayState,
  source: Source,
  { collection, era, revision }: CollectionSnapshot | CollectionChanges,
): GatewayEffect[] => {
  const known = collections[collection];
  source.isIncomparable ||= era === undefined && known.era !== undefined;
  if (era === known.era && revision === known.revision) {
    return [];
  }
  const change: BeliefChange = {
    event: 'news-dropped',
    collection,
    reader: source.peer.name,
    revision,
    era,
    knownRevision: known.revision ?? 0,
    knownEra: known.era,
  };
  return [{ type: 'write-log', level: 'info', part: 'store', change }];
};

/** Versions of the configuration tell by themselves which is newer, wherever the store stood. */
const takeVersion = (
  state: GatewayState,
  { peer }: Source,
  snapshot: CollectionSnapshot,
  at: number,
): GatewayEffect[] =>
  snapshot.collection === 'configuration' ? applyObjects(state, snapshot, at, peer.name) : [];

/** A watch that waits was made from an earlier position, maybe of another era: another one takes its place. */
const watchAnew = (
  { reading, store }: GatewayState,
  progress: CollectionProgress,
): GatewayEffect[] => (reading.isReading && store.reachable ? [callNow(progress)] : []);

/** Takes the objects of a snapshot that the store does not list, where nothing is known of them here. */
const takeAwaited = (
  state: GatewayState,
  { peer }: Source,
  snapshot: CollectionSnapshot,
  at: number,
): GatewayEffect[] => {
  const { collection, awaited = [] } = snapshot;
  if (awaited.length === 0) {
    return [];
  }
  const all: readonly Stored<unknown>[] = snapshot.objects;
  const isNew = ({ name }: Stored<unknown>): boolean =>
    awaited.includes(name) && !isKnownOrDeparted(state, collection, name);
  // The objects are some of the snapshot's; the union of collections cannot say so.
  const taken = { collection, objects: all.filter(isNew) } as StoreObjects;
  const applied = applyObjects(state, taken, at, peer.name);
  awaitNames(state, collection, awaited, at);
  return applied;
};

/** The snapshot without the objects that the store does not list. */
const listedPart = (snapshot: CollectionSnapshot): CollectionSnapshot => {
  const awaited = new Set(snapshot.awaited);
  const objects: readonly Stored<unknown>[] = snapshot.objects;
  // The objects are some of the snapshot's; the union of collections cannot say so.
  return {
    ...snapshot,
    objects: objects.filter(({ name }) => !awaited.has(name)),
  } as CollectionSnapshot;
};

const takeSnapshot = (
  state: GatewayState,
  source: Source,
  told: CollectionSnapshot,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, era } = told;
  const progress = state.collections[collection];
  const before = positionOf(progress);
  if (before !== undefined && comparePositions({ era, revision }, before) <= 0) {
    return [...takeVersion(state, source, told, at), ...dropNews(state, source, told)];
  }
  const hasReturned = isOfEarlierEra(progress, era);
  const snapshot = listedPart(told);
  const listed = new Set(snapshot.objects.map(({ name }) => name));
  const present = hasReturned ? listed : withMissing(state, collection, listed);
  const changed = new Set([
    ...changedNames(state, snapshot),
    ...unlistedNames(state, collection, present),
    ...progress.pendingNames,
  ]);
  progress.revision = revision;
  progress.era = era;
  progress.isListed = true;
  const taken = withholdOlder(state, snapshot, at);
  const applied = applyObjects(state, taken, at, source.peer.name);
  if (hasReturned) {
    awaitUnlisted(state, collection, listed, at);
    delayRegistration(state, collection, at);
  }
  const awaited = takeAwaited(state, source, told, at);
  return [
    ...applied,
    ...awaited,
    ...removeUnlistedObjects(state, collection, withMissing(state, collection, listed), at),
    ...tellNamed(state, collection, changed, before, at),
    ...(collection === 'gateways' ? handleGatewaysListed(state, at) : []),
    ...(hasReturned ? watchAnew(state, progress) : []),
  ];
};

/** Asks for a snapshot of what was missed. */
const askAgain = (state: GatewayState, { peer }: Source): GatewayEffect => ({
  type: 'follow-reader',
  peer,
  positions: knownPositions(state),
});

/**
 * Whether changes go on from what is known. Those that a reader found when the store had returned from a copy do only for
 * a gateway that knows just what the reader knew.
 */
const continues = ({ after, afterEra, era }: CollectionChanges, known: StorePosition): boolean =>
  afterEra === era && known.era === era
    ? after <= known.revision
    : comparePositions({ era: afterEra, revision: after }, known) === 0;

/**
 * Takes changes. Those that end where this gateway stands are a reader's decision about what the store has lost or brought
 * back; they are not passed on, since gateways may follow one another.
 */
const takeReaderChanges = (
  state: GatewayState,
  source: Source,
  told: CollectionChanges,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, era } = told;
  const progress = state.collections[collection];
  const before = positionOf(progress);
  if (before !== undefined && comparePositions({ era, revision }, before) < 0) {
    return dropNews(state, source, told);
  }
  if (before === undefined || !continues(told, before)) {
    return [askAgain(state, source)];
  }
  if (comparePositions({ era, revision }, before) === 0) {
    return applyObjects(state, told, at, source.peer.name);
  }
  const hasReturned = isOfEarlierEra(progress, era);
  progress.revision = revision;
  progress.era = era;
  const changes = hasReturned ? awaitGone(state, withholdOlder(state, told, at), at) : told;
  if (hasReturned) {
    delayRegistration(state, collection, at);
  }
  return [
    ...applyObjects(state, changes, at, source.peer.name),
    ...tellChanges(state, told, before, at),
    ...forgetGoneReplicas(state, at),
    ...(collection === 'gateways' ? registerIfMissing(state, at) : []),
    ...(hasReturned ? watchAnew(state, progress) : []),
  ];
};

/** A reader that is current has told all that the store holds. */
const takeStatus = (
  state: GatewayState,
  source: Source,
  { isCurrent, confirmedMsAgo = 0, version }: ReaderStatus,
  at: number,
): GatewayEffect[] => {
  const wasCurrent = source.isCurrent;
  source.isCurrent = isCurrent;
  if (isCurrent) {
    collectionsOf(state).forEach((name) => {
      const progress = state.collections[name];
      progress.confirmedAt = Math.max(progress.confirmedAt, at - confirmedMsAgo);
    });
  }
  const compared = compareVersions(state, source, version, at);
  if (isCurrent === wasCurrent) {
    return compared;
  }
  const change: BeliefChange = { event: 'reader-status', reader: source.peer.name, isCurrent };
  return [...compared, { type: 'write-log', level: 'info', part: 'store', change }];
};

/** Handles `reader-told`; what comes from a gateway that is no longer followed is dropped. */
export const takeReaderNews = (
  state: GatewayState,
  { reader, news, at }: ReaderUpdateReceived,
): GatewayEffect[] => {
  const source = state.reading.sources.get(reader);
  if (source === undefined) {
    return [];
  }
  source.heardAt = at;
  if (news.type === 'status') {
    return takeStatus(state, source, news, at);
  }
  const { era, eraAgeMs = 0, collection } = news;
  return [
    ...noteEra(state, era, { from: reader, collection, since: at - eraAgeMs }),
    ...(news.type === 'snapshot'
      ? takeSnapshot(state, source, news, at)
      : takeReaderChanges(state, source, news, at)),
    ...noteReturnRead(state, at),
  ];
};
