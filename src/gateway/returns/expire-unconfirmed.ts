/** Expires the unconfirmed objects that remain after a restore of the store. */
import type { GatewayEffect } from '../effect.js';
import { knownPositions, publishNamed } from '../readers/publish-to-followers.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects } from '../store/apply-objects.js';
import type { CollectionName } from '../store/collection.js';
import { beginList, callNow, positionOf } from '../store/follow-collection.js';
import type { StoreObjects } from '../store/store-objects.js';
import { removeExpiredDepartures, type UnconfirmedObject } from './restore-state.js';

/** Removes objects that the backup lacked and that were not written again, and publishes this to followers. */
const removeMissing = (
  state: GatewayState,
  collection: CollectionName,
  names: readonly string[],
  at: number,
): GatewayEffect[] => {
  if (names.length === 0) {
    return [];
  }
  const objects = names.map((name) => ({ name, gone: true }));
  // Objects that are gone have no value in any collection, which the union type cannot express.
  const read = { collection, objects } as StoreObjects;
  const position = positionOf(state.collections[collection]);
  return [
    ...applyObjects(state, read, at, 'store'),
    ...publishNamed(state, collection, new Set(names), position, at),
  ];
};

/**
 * Reads a collection again, from the store or from its readers, where objects that the backup brought back are still
 * there. These may be alive, and may have changed since if this gateway has handed reading over to another one.
 */
const rereadOlder = (
  state: GatewayState,
  collection: CollectionName,
  names: readonly string[],
): GatewayEffect[] => {
  const { collections, reading, storeRestores, store } = state;
  names.forEach((name) => storeRestores.unconfirmed[collection].delete(name));
  const progress = collections[collection];
  if (names.length === 0) {
    return [];
  }
  beginList(progress);
  if (reading.isReading) {
    return store.reachable ? [callNow(progress)] : [];
  }
  progress.revision = undefined;
  const positions = knownPositions(state);
  return [...reading.sources.values()].map(({ peer }) => ({
    type: 'follow-reader',
    peer,
    positions,
  }));
};

const expireInCollection = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): GatewayEffect[] => {
  const due = [...state.storeRestores.unconfirmed[collection]].filter(
    ([, { until }]) => until <= at,
  );
  const namesOf = (type: UnconfirmedObject['type']): readonly string[] =>
    due.filter(([, object]) => object.type === type).map(([name]) => name);
  return [
    ...removeMissing(state, collection, namesOf('missing'), at),
    ...rereadOlder(state, collection, namesOf('older')),
  ];
};

/** Expires unconfirmed objects whose time is over, and old departures while the store is reachable. */
export const expireUnconfirmed = (state: GatewayState, at: number): GatewayEffect[] => {
  if (state.store.reachable) {
    removeExpiredDepartures(state.storeRestores, at);
  }
  return collectionsOf(state).flatMap((collection) => expireInCollection(state, collection, at));
};
