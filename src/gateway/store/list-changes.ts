/**
 * Determines by name which objects a list of a collection changes. Only these are sent to the followers of this gateway: a
 * list of a large fleet has hundreds of kilobytes.
 */
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import { isSameReplicaRecord, type ReplicaRecord } from '../model/replica-record.js';
import type { GatewayState } from '../state.js';
import type { CollectionName } from './collection.js';
import { isNewConfiguration } from './configuration-in-force.js';
import type { Stored, StoreObjects } from './store-objects.js';

const isReplicaChanged = (
  { replicas }: GatewayState,
  { value }: Stored<ReplicaRecord>,
): boolean => {
  const known = value && replicas.find(value.id);
  return (
    value !== undefined &&
    (known?.goneAt !== undefined ||
      known === undefined ||
      !isSameReplicaRecord(known.record, value))
  );
};

const isGatewayChanged = (
  { peers }: GatewayState,
  { name, value }: Stored<PeerRecord>,
): boolean => {
  const known = peers.find(name);
  return value === undefined || known === undefined || !isSamePeerRecord(known, value);
};

const namesOf = (objects: readonly Stored<unknown>[]): readonly string[] =>
  objects.map(({ name }) => name);

/**
 * Names of the listed objects that differ from the known ones, or that are unconfirmed since the store was restored from a
 * backup: followers wait for the confirmation of these as well.
 */
export const changedNames = (state: GatewayState, read: StoreObjects): readonly string[] => {
  const unconfirmed = state.storeRestores.unconfirmed[read.collection];
  const isUnconfirmed = ({ name }: Stored<unknown>): boolean => unconfirmed.has(name);
  return [...differingNames(state, read), ...namesOf(read.objects.filter(isUnconfirmed))];
};

const differingNames = (state: GatewayState, read: StoreObjects): readonly string[] => {
  switch (read.collection) {
    case 'configuration':
      return namesOf(
        read.objects.filter(
          ({ value }) => value !== undefined && isNewConfiguration(value, state.inForce),
        ),
      );
    case 'replicas':
      return read.objects
        .filter((object) => isReplicaChanged(state, object))
        .map(({ name, value }) => value?.id ?? name);
    case 'gateways':
      return namesOf(read.objects.filter((object) => isGatewayChanged(state, object)));
    case 'evacuations':
      return namesOf(read.objects.filter(({ name }) => !state.evacuatedZones.has(name)));
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

/** Names of objects that stay known although the store, restored from a backup, does not list them. */
export const missingNames = (
  { storeRestores }: GatewayState,
  collection: CollectionName,
): readonly string[] =>
  [...storeRestores.unconfirmed[collection]]
    .filter(([, { type }]) => type === 'missing')
    .map(([name]) => name);

/** The listed names and the missing ones. */
export const withMissing = (
  state: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
): ReadonlySet<string> => new Set([...listed, ...missingNames(state, collection)]);

/** Names of known objects that a complete list does not contain; these objects are gone. */
export const unlistedNames = (
  state: GatewayState,
  collection: CollectionName,
  listed: ReadonlySet<string>,
): readonly string[] => knownNames(state, collection).filter((name) => !listed.has(name));
