/**
 * What a list of a collection changes in what this gateway knows. Gateways that follow it are told that and
 * no more: a list of a large fleet has hundreds of kilobytes.
 */
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import { isSameReplicaRecord, type ReplicaRecord } from '../model/replica-record.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from './collection.js';
import type { Stored, StoreObjects } from './store-objects.js';

const changesReplica = (
  { replicas }: GatewayState,
  { name, gone, value }: Stored<ReplicaRecord>,
): boolean => {
  const known = replicas.find(value?.id ?? name);
  const isListed = known !== undefined && known.goneAt === undefined;
  if (gone || value === undefined) {
    return gone && isListed;
  }
  return !isListed || !isSameReplicaRecord(known.record, value);
};

const changesGateway = (
  { peers }: GatewayState,
  { name, gone, value }: Stored<PeerRecord>,
): boolean => {
  const known = peers.find(name);
  if (gone || value === undefined) {
    return gone ? peers.names().includes(name) : known !== undefined;
  }
  return known === undefined || !isSamePeerRecord(known, value);
};

/** The objects that are not known as they were read, and those that are known and were read to be gone. */
export const changedObjects = (state: GatewayState, read: StoreObjects): StoreObjects => {
  switch (read.collection) {
    case 'configuration': {
      const { version = Number.NEGATIVE_INFINITY } = state.inForce?.configuration ?? {};
      const objects = read.objects.filter(({ value }) => (value?.version ?? version) > version);
      return { collection: read.collection, objects };
    }
    case 'replicas': {
      const objects = read.objects.filter((object) => changesReplica(state, object));
      return { collection: read.collection, objects };
    }
    case 'gateways': {
      const objects = read.objects.filter((object) => changesGateway(state, object));
      return { collection: read.collection, objects };
    }
    case 'evacuations': {
      const { evacuatedZones } = state;
      const objects = read.objects.filter(({ name, gone }) => gone === evacuatedZones.has(name));
      return { collection: read.collection, objects };
    }
  }
};

const knownNames = (state: GatewayState, collection: CollectionName): readonly string[] => {
  switch (collection) {
    case 'configuration':
      return [];
    case 'replicas':
      return [...state.replicas.all()]
        .filter(({ goneAt }) => goneAt === undefined)
        .map(({ record }) => record.id);
    case 'gateways':
      return state.peers.names();
    case 'evacuations':
      return [...state.evacuatedZones];
  }
};

/** The objects that are known and that a complete list does not hold: they are gone. */
export const unlistedObjects = (
  state: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
): StoreObjects => {
  const names = knownNames(state, collection).filter((name) => !listed.has(name));
  return { collection, objects: names.map((name): Stored<never> => ({ name, gone: true })) };
};

/** What a complete list of one part changes; `listed` are its names. */
export const changedByList = (
  state: GatewayState,
  list: StoreObjects,
  listed: ReadonlySet<string>,
): readonly StoreObjects[] => [
  changedObjects(state, list),
  unlistedObjects(state, list.collection, listed),
];

/** Objects of one collection that were read in several parts, as one. */
export const joinObjects = (
  collection: CollectionName,
  parts: readonly StoreObjects[],
): StoreObjects => {
  const objects = parts.flatMap((part): readonly unknown[] => part.objects);
  // All parts are of `collection`; the union of collections cannot say so.
  return { collection, objects } as StoreObjects;
};
