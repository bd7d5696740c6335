/** The content of the updates that a reader publishes: the objects of a collection as it knows them, and their era. */
import type { PeerRecord } from '../model/peer-record.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { Replica } from '../replicas/replica.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { positionOf } from '../store/follow-collection.js';
import { missingNames } from '../store/list-changes.js';
import type { Stored, StoreObjects } from '../store/store-objects.js';
import type { StoreEra } from '../store/store-position.js';
import type { CollectionSnapshot } from './reader-update.js';

/** Name of the single object of the `configuration` collection in updates of readers. */
export const CONFIGURATION_OBJECT = 'configuration';

/**
 * The entry of a gateway as the store has it, even where a restore brought back an older one: only the gateway itself
 * can write it again.
 */
const gatewayObject = (
  { peers, storeRestores }: GatewayState,
  name: string,
): Stored<PeerRecord> => {
  const unconfirmed = storeRestores.unconfirmed.gateways.get(name);
  if (unconfirmed?.type === 'older') {
    // Unconfirmed objects of the `gateways` collection are entries of gateways.
    return unconfirmed.stored as Stored<PeerRecord>;
  }
  const value = peers.find(name);
  return value === undefined ? { name, gone: false } : { name, gone: false, value };
};

/** A replica as followers may use it. A replica whose entry cannot be read has a name but no value. */
const replicaObject = (
  { record, coldUntil, isUnreadable }: Replica,
  at: number,
): Stored<ReplicaRecord> => {
  const name = record.id;
  const value = { ...record, coldLeftMs: Math.max(0, coldUntil - at) };
  return isUnreadable ? { name, gone: false } : { name, gone: false, value };
};

const objectsOf = (state: GatewayState, collection: CollectionName, at: number): StoreObjects => {
  switch (collection) {
    case 'configuration': {
      const value = state.inForce?.configuration;
      const objects =
        value === undefined ? [] : [{ name: CONFIGURATION_OBJECT, gone: false, value }];
      return { collection, objects };
    }
    case 'replicas': {
      const listed = [...state.replicas.all()].filter(({ goneAt }) => goneAt === undefined);
      return { collection, objects: listed.map((replica) => replicaObject(replica, at)) };
    }
    case 'gateways': {
      const objects = state.peers.names().map((name) => gatewayObject(state, name));
      return { collection, objects };
    }
    case 'evacuations': {
      const zones = [...state.evacuatedZones];
      return {
        collection,
        objects: zones.map((zone) => ({ name: zone, gone: false, value: { zone } })),
      };
    }
  }
};

/** The fields of an update that describe its era. */
export const eraFields = (
  { storeRestores }: GatewayState,
  era: StoreEra,
  at: number,
): Pick<CollectionSnapshot, 'era' | 'eraAgeMs'> => {
  const eraAgeMs = Math.max(0, at - storeRestores.eraSince);
  return {
    ...(era !== undefined && { era }),
    ...(era !== undefined && Number.isFinite(eraAgeMs) && { eraAgeMs }),
  };
};

/** A snapshot of a collection; undefined where the collection has no known position. */
export const snapshotOf = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): CollectionSnapshot | undefined => {
  const position = positionOf(state.collections[collection]);
  if (position === undefined) {
    return undefined;
  }
  const { era, revision } = position;
  const awaited = missingNames(state, collection);
  return {
    type: 'snapshot',
    ...objectsOf(state, collection, at),
    revision,
    ...eraFields(state, era, at),
    ...(awaited.length > 0 && { awaited }),
  };
};

/** The named objects as they are known now. Objects that are unknown, or that the store does not list, are gone. */
export const namedObjects = (
  state: GatewayState,
  collection: CollectionName,
  names: ReadonlySet<string>,
  at: number,
): StoreObjects => {
  const known = objectsOf(state, collection, at);
  if (known.collection === 'configuration') {
    return names.size === 0 ? { collection: known.collection, objects: [] } : known;
  }
  const awaited = new Set(missingNames(state, collection));
  const present = known.objects.filter(({ name }) => names.has(name) && !awaited.has(name));
  const presentNames = new Set(present.map(({ name }) => name));
  const gone = [...names].filter((name) => !presentNames.has(name));
  const objects: readonly Stored<unknown>[] = [
    ...present,
    ...gone.map((name) => ({ name, gone: true })),
  ];
  // `present` belongs to the same collection, which the union type cannot express.
  return { collection, objects } as StoreObjects;
};
