/**
 * Applies the updates of a reader and forwards them, since a gateway that reads for others may itself follow a reader.
 * Its own watch does not return changes that an update has already brought, and its followers rely on it being current.
 */
import type { GatewayEffect } from '../effect.js';
import type { ReaderUpdateReceived } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import {
  registerIfMissing,
  delayRegistration,
  handleGatewaysListed,
} from '../peers/follow-gateways.js';
import {
  keepGone,
  keepMissing,
  keepUnlisted,
  isKnownOrDeparted,
  withholdOlder,
} from '../returns/record-unconfirmed.js';
import { recordEra, completeRestore } from '../returns/record-era.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects, removeUnlistedObjects, removeGoneReplicas } from '../store/apply-objects.js';
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
import type { CollectionChanges, CollectionSnapshot, ReaderStatus } from './reader-update.js';
import type { Source } from './reading-state.js';
import { knownPositions, publishChanges, publishNamed } from './publish-to-followers.js';

/** Discards an outdated update. An update older than the known position is logged; an exact duplicate is not. */
const discardUpdate = (
  { collections }: GatewayState,
  source: Source,
  { collection, era, revision }: CollectionSnapshot | CollectionChanges,
): GatewayEffect[] => {
  const known = collections[collection];
  source.isIncomparable ||= era === undefined && known.era !== undefined;
  if (era === known.era && revision === known.revision) {
    return [];
  }
  const change: StateChange = {
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

/**
 * Applies the configuration of an outdated snapshot: configuration versions can be compared independently of store
 * positions.
 */
const applyConfiguration = (
  state: GatewayState,
  { peer }: Source,
  snapshot: CollectionSnapshot,
  at: number,
): GatewayEffect[] =>
  snapshot.collection === 'configuration' ? applyObjects(state, snapshot, at, peer.name) : [];

/** Replaces a waiting watch, which was started from an earlier position and possibly in another era. */
const restartWatch = (
  { reading, store }: GatewayState,
  progress: CollectionProgress,
): GatewayEffect[] => (reading.isReading && store.reachable ? [callNow(progress)] : []);

/** Applies the objects of a snapshot that the store does not list, where this gateway does not know them. */
const applyAwaited = (
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
  // The objects are a subset of the snapshot's, which the union type cannot express.
  const unknownHere = { collection, objects: all.filter(isNew) } as StoreObjects;
  const applied = applyObjects(state, unknownHere, at, peer.name);
  keepMissing(state, collection, awaited, at);
  return applied;
};

/** The snapshot without the objects that the store does not list. */
const withoutAwaited = (snapshot: CollectionSnapshot): CollectionSnapshot => {
  const awaited = new Set(snapshot.awaited);
  const objects: readonly Stored<unknown>[] = snapshot.objects;
  // The objects are a subset of the snapshot's, which the union type cannot express.
  return {
    ...snapshot,
    objects: objects.filter(({ name }) => !awaited.has(name)),
  } as CollectionSnapshot;
};

const applySnapshot = (
  state: GatewayState,
  source: Source,
  received: CollectionSnapshot,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, era } = received;
  const progress = state.collections[collection];
  const before = positionOf(progress);
  if (before !== undefined && comparePositions({ era, revision }, before) <= 0) {
    return [
      ...applyConfiguration(state, source, received, at),
      ...discardUpdate(state, source, received),
    ];
  }
  const isNewEra = isOfEarlierEra(progress, era);
  const snapshot = withoutAwaited(received);
  const listed = new Set(snapshot.objects.map(({ name }) => name));
  const present = isNewEra ? listed : withMissing(state, collection, listed);
  const changed = new Set([
    ...changedNames(state, snapshot),
    ...unlistedNames(state, collection, present),
    ...progress.pendingNames,
  ]);
  progress.revision = revision;
  progress.era = era;
  progress.isListed = true;
  const accepted = withholdOlder(state, snapshot, at);
  const applied = applyObjects(state, accepted, at, source.peer.name);
  if (isNewEra) {
    keepUnlisted(state, collection, listed, at);
    delayRegistration(state, collection, at);
  }
  const awaited = applyAwaited(state, source, received, at);
  return [
    ...applied,
    ...awaited,
    ...removeUnlistedObjects(state, collection, withMissing(state, collection, listed), at),
    ...publishNamed(state, collection, changed, before, at),
    ...(collection === 'gateways' ? handleGatewaysListed(state, at) : []),
    ...(isNewEra ? restartWatch(state, progress) : []),
  ];
};

/** Requests a snapshot of everything newer than the known positions. */
const requestSnapshot = (state: GatewayState, { peer }: Source): GatewayEffect => ({
  type: 'follow-reader',
  peer,
  positions: knownPositions(state),
});

/**
 * Whether changes continue from the known position. Changes that span a restore of the store do so only for a gateway
 * at exactly the position from which the reader computed them.
 */
const isContinuation = (
  { after, afterEra, era }: CollectionChanges,
  known: StorePosition,
): boolean =>
  afterEra === era && known.era === era
    ? after <= known.revision
    : comparePositions({ era: afterEra, revision: after }, known) === 0;

/**
 * Applies changes. Changes that end at the known position are a reader's decision about objects that a restored store
 * has lost or brought back. They are not forwarded, since gateways may follow each other.
 */
const applyChanges = (
  state: GatewayState,
  source: Source,
  received: CollectionChanges,
  at: number,
): GatewayEffect[] => {
  const { collection, revision, era } = received;
  const progress = state.collections[collection];
  const before = positionOf(progress);
  if (before !== undefined && comparePositions({ era, revision }, before) < 0) {
    return discardUpdate(state, source, received);
  }
  if (before === undefined || !isContinuation(received, before)) {
    return [requestSnapshot(state, source)];
  }
  if (comparePositions({ era, revision }, before) === 0) {
    return applyObjects(state, received, at, source.peer.name);
  }
  const isNewEra = isOfEarlierEra(progress, era);
  progress.revision = revision;
  progress.era = era;
  const changes = isNewEra ? keepGone(state, withholdOlder(state, received, at), at) : received;
  if (isNewEra) {
    delayRegistration(state, collection, at);
  }
  return [
    ...applyObjects(state, changes, at, source.peer.name),
    ...publishChanges(state, received, before, at),
    ...removeGoneReplicas(state, at),
    ...(collection === 'gateways' ? registerIfMissing(state, at) : []),
    ...(isNewEra ? restartWatch(state, progress) : []),
  ];
};

/** Applies a status. The status of a current reader confirms that its updates cover everything that the store holds. */
const handleStatus = (
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
  const effects = compareVersions(state, source, version, at);
  if (isCurrent === wasCurrent) {
    return effects;
  }
  const change: StateChange = { event: 'reader-status', reader: source.peer.name, isCurrent };
  return [...effects, { type: 'write-log', level: 'info', part: 'store', change }];
};

/** Handles `reader-update-received`. Updates of a gateway that is no longer followed are discarded. */
export const handleReaderUpdate = (
  state: GatewayState,
  { reader, news: update, at }: ReaderUpdateReceived,
): GatewayEffect[] => {
  const source = state.reading.sources.get(reader);
  if (source === undefined) {
    return [];
  }
  source.lastUpdateAt = at;
  if (update.type === 'status') {
    return handleStatus(state, source, update, at);
  }
  const { era, eraAgeMs = 0, collection } = update;
  return [
    ...recordEra(state, era, { from: reader, collection, since: at - eraAgeMs }),
    ...(update.type === 'snapshot'
      ? applySnapshot(state, source, update, at)
      : applyChanges(state, source, update, at)),
    ...completeRestore(state, at),
  ];
};
