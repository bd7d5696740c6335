/** What is kept apart after a return of the store, until it is confirmed or its time is over. */
import type { GatewayEffect } from '../effect.js';
import { knownPositions, publishNamed } from '../readers/publish-to-followers.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects } from '../store/apply-objects.js';
import type { CollectionName } from '../store/collection.js';
import { beginList, callNow, positionOf } from '../store/follow-collection.js';
import type { StoreObjects } from '../store/store-objects.js';
import { removeExpiredDepartures, type UnconfirmedObject } from './restore-state.js';

/** What the copy lacked and has not come back is gone; followers are told. */
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
  // What is gone has no value of any collection; the union of collections cannot say so.
  const read = { collection, objects } as StoreObjects;
  const position = positionOf(state.collections[collection]);
  return [
    ...applyObjects(state, read, at, 'store'),
    ...publishNamed(state, collection, new Set(names), position, at),
  ];
};

/**
 * What the copy brought back and still stands may live. It may also have changed since, where this gateway has left the
 * reading to another: all is read again, from the store or from who reads it.
 */
const rereadOlder = (
  state: GatewayState,
  collection: CollectionName,
  names: readonly string[],
): GatewayEffect[] => {
  const { collections, reading, returns, store } = state;
  names.forEach((name) => returns.unconfirmed[collection].delete(name));
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
  const due = [...state.returns.unconfirmed[collection]].filter(([, { until }]) => until <= at);
  const namesOf = (type: UnconfirmedObject['type']): readonly string[] =>
    due.filter(([, object]) => object.type === type).map(([name]) => name);
  return [
    ...removeMissing(state, collection, namesOf('missing'), at),
    ...rereadOlder(state, collection, namesOf('older')),
  ];
};

/** Ends what has been kept apart for long enough. */
export const expireUnconfirmed = (state: GatewayState, at: number): GatewayEffect[] => {
  if (state.store.reachable) {
    removeExpiredDepartures(state.returns, at);
  }
  return collectionsOf(state).flatMap((collection) => expireInCollection(state, collection, at));
};
