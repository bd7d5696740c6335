/** Asks again for all that the store holds, after the process stood still. */
import type { GatewayEffect } from '../effect.js';
import { collectionsOf, type GatewayState } from '../state.js';
import { beginList, callNow } from '../store/follow-collection.js';

/** A watch that waits shows nothing, and may be over a connection that is gone: all collections are listed. */
const listAll = (state: GatewayState): GatewayEffect[] =>
  collectionsOf(state).map((name) => {
    const progress = state.collections[name];
    beginList(progress);
    return callNow(progress);
  });

/**
 * Has a gateway whose knowledge may be out of date list the store, where it reads it. Readers that it follows are forgotten,
 * so that they are asked again and count by what they say from now on.
 */
export const askAnew = (state: GatewayState, at: number): GatewayEffect[] => {
  const { pauseRecovery: outdated, reading, store } = state;
  if (outdated === undefined || outdated.requestedAt !== undefined) {
    return [];
  }
  outdated.requestedAt = at;
  reading.sources.clear();
  return reading.isReading && store.reachable ? listAll(state) : [];
};
