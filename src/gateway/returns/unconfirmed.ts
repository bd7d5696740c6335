/** What is kept apart after a return of the store, until it is confirmed or its time is over. */
import type { GatewayEffect } from '../effect.js';
import { tellNamed } from '../readers/tell-followers.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { applyObjects } from '../store/apply-objects.js';
import type { CollectionName } from '../store/collection.js';
import { positionOf } from '../store/follow-collection.js';
import type { Stored, StoreObjects } from '../store/store-objects.js';
import { forgetDeparted, type UnconfirmedObject } from './return-state.js';

/** What the store holds of an object whose time is over. */
const storedOf = (name: string, object: UnconfirmedObject): Stored<unknown> =>
  object.type === 'older' ? object.stored : { name, gone: true };

const settleCollection = (
  state: GatewayState,
  collection: CollectionName,
  at: number,
): GatewayEffect[] => {
  const due = [...state.returns.unconfirmed[collection]].filter(([, { until }]) => until <= at);
  if (due.length === 0) {
    return [];
  }
  const objects = due.map(([name, object]) => storedOf(name, object));
  // The objects are of the collection in which they were kept; the union of collections cannot say so.
  const read = { collection, objects } as StoreObjects;
  const names = new Set(due.map(([name]) => name));
  return [
    ...applyObjects(state, read, at, 'store'),
    ...tellNamed(state, collection, names, positionOf(state.collections[collection]), at),
  ];
};

/** Takes what the store holds of the objects whose time is over; followers are told. */
export const settleUnconfirmed = (state: GatewayState, at: number): GatewayEffect[] => {
  if (state.store.reachable) {
    forgetDeparted(state.returns, at);
  }
  return collectionsOf(state).flatMap((collection) => settleCollection(state, collection, at));
};
