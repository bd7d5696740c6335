/**
 * Reads collections after the store was restored from a backup. Objects that the backup lacks or brings back stay
 * unconfirmed until the store confirms them or their time is over.
 */
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { unlistedNames } from '../store/list-changes.js';
import type { Stored, StoreObjects } from '../store/store-objects.js';
import {
  missingKeptUntil,
  type UnconfirmedObject,
  withheldSpreadMs,
  withheldUntil,
} from './restore-state.js';

const isLaterStart = (listed: number | undefined, known: number | undefined): boolean =>
  listed !== undefined && known !== undefined && listed > known;

const isEarlierStart = (listed: number | undefined, known: number | undefined): boolean =>
  listed !== undefined && known !== undefined && listed < known;

/** Whether the entry brings back a replica that has left, a draining replica as active, or an earlier start of one. */
const isOlderReplica = (
  { replicas, storeRestores }: GatewayState,
  { id, bornAt, draining }: ReplicaRecord,
): boolean => {
  const known = replicas.find(id);
  const departed = storeRestores.departedReplicas.get(id);
  const knownBornAt = known?.record.bornAt ?? departed?.bornAt;
  if (isLaterStart(bornAt, knownBornAt)) {
    return false;
  }
  if (isEarlierStart(bornAt, knownBornAt)) {
    return true;
  }
  if (known === undefined) {
    return departed !== undefined;
  }
  return known.goneAt !== undefined || (known.record.draining && !draining);
};

const isOlderGateway = ({ peers }: GatewayState, { name, value }: Stored<PeerRecord>): boolean => {
  const known = peers.find(name);
  return known !== undefined && (value === undefined || !isSamePeerRecord(known, value));
};

const olderNames = (state: GatewayState, read: StoreObjects): ReadonlySet<string> => {
  switch (read.collection) {
    case 'configuration':
      return new Set();
    case 'replicas':
      return new Set(
        read.objects
          .filter(({ value }) => value !== undefined && isOlderReplica(state, value))
          .map(({ name }) => name),
      );
    case 'gateways':
      return new Set(
        read.objects
          .filter((object) => !object.gone && isOlderGateway(state, object))
          .map(({ name }) => name),
      );
    case 'evacuations':
      return new Set(
        read.objects
          .filter(({ name, gone }) => !gone && !state.evacuatedZones.has(name))
          .map(({ name }) => name)
          .filter((name) => state.storeRestores.reopenedZones.has(name)),
      );
  }
};

/** Records an unconfirmed object, and counts it for the ongoing restore. */
const recordUnconfirmed = (
  { storeRestores }: GatewayState,
  collection: CollectionName,
  name: string,
  object: UnconfirmedObject,
): void => {
  storeRestores.unconfirmed[collection].set(name, object);
  const counts = storeRestores.ongoing?.[object.type];
  counts?.set(collection, (counts.get(collection) ?? 0) + 1);
};

/**
 * Returns the listed objects without those that the backup brings back, which are recorded as unconfirmed. Any list may
 * contain such objects, not only the first one since the restore: a gateway that learnt of the restore from a reader
 * may list the store itself later.
 */
export const withholdOlder = <Read extends StoreObjects>(
  state: GatewayState,
  read: Read,
  at: number,
): Read => {
  const { collection } = read;
  const until = withheldUntil(state.storeRestores, collection, state.settings.bounds);
  const older = at < until ? olderNames(state, read) : new Set<string>();
  if (older.size === 0) {
    return read;
  }
  const all: readonly Stored<unknown>[] = read.objects;
  const spreadMs = withheldSpreadMs(collection) * state.random.next();
  all
    .filter(({ name }) => older.has(name))
    .forEach((stored) =>
      recordUnconfirmed(state, collection, stored.name, {
        type: 'older',
        until: until + spreadMs,
        stored,
      }),
    );
  return { ...read, objects: all.filter(({ name }) => !older.has(name)) };
};

/** Keeps the named objects, which the backup lacks, in use and records them as unconfirmed. */
export const keepMissing = (
  state: GatewayState,
  collection: CollectionName,
  names: readonly string[],
  at: number,
): void => {
  const until = missingKeptUntil(state.storeRestores, collection);
  if (at < until) {
    names.forEach((name) => recordUnconfirmed(state, collection, name, { type: 'missing', until }));
  }
};

/** Keeps the known objects that the list lacks. */
export const keepUnlisted = (
  state: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
  at: number,
): void => keepMissing(state, collection, unlistedNames(state, collection, listed), at);

const isKnown = (state: GatewayState, collection: CollectionName, name: string): boolean => {
  switch (collection) {
    case 'configuration':
      return false;
    case 'replicas': {
      const known = state.replicas.find(name);
      return known !== undefined && known.goneAt === undefined;
    }
    case 'gateways':
      return state.peers.names().includes(name);
    case 'evacuations':
      return state.evacuatedZones.has(name);
  }
};

/**
 * Whether this gateway knows an object, or that it has gone: a reader's copy of an object that the backup lacks adds
 * nothing.
 */
export const isKnownOrDeparted = (
  state: GatewayState,
  collection: CollectionName,
  name: string,
): boolean => {
  const { departedReplicas, reopenedZones } = state.storeRestores;
  return (
    isKnown(state, collection, name) ||
    (collection === 'replicas' && departedReplicas.has(name)) ||
    (collection === 'evacuations' && reopenedZones.has(name))
  );
};

/**
 * Updates from the first list of an era mark the objects that it lacked as `gone`. Keeps those of them that this
 * gateway knows, and returns the other objects.
 */
export const keepGone = <Read extends StoreObjects>(
  state: GatewayState,
  read: Read,
  at: number,
): Read => {
  const { collection } = read;
  const all: readonly Stored<unknown>[] = read.objects;
  const isKept = ({ name, gone }: Stored<unknown>): boolean =>
    gone && isKnown(state, collection, name);
  const kept = at < missingKeptUntil(state.storeRestores, collection) ? all.filter(isKept) : [];
  keepMissing(
    state,
    collection,
    kept.map(({ name }) => name),
    at,
  );
  return { ...read, objects: all.filter((object) => !kept.includes(object)) };
};
