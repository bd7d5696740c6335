/** Reads everything that the store holds again after a process pause. */
import type { GatewayEffect } from '../effect.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { beginList, callNow } from '../store/follow-collection.js';

/** Lists all collections. A waiting watch confirms nothing, and its connection may have been lost during the pause. */
const relistAll = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state).map((name) => {
    const progress = state.collections[name];
    beginList(progress);
    return callNow(progress);
  });

/**
 * Refreshes a gateway whose state may be out of date: it lists the store where it reads the store itself. The readers
 * that it follows are removed, so that it follows them again and only updates after the pause show whether they are
 * current.
 */
export const refreshOutdated = (state: GatewayState, at: number): GatewayEffect[] => {
  const { pauseRecovery: outdated, reading, store } = state;
  if (outdated === undefined || outdated.requestedAt !== undefined) {
    return [];
  }
  outdated.requestedAt = at;
  reading.sources.clear();
  return reading.isReading && store.reachable ? relistAll(state) : [];
};
