/** How recently the gateway's view of the store was confirmed to be current. */
import { collectionsOf, type GatewayState } from '../state.js';

/**
 * The last time at which every collection with a time bound on its changes was confirmed to be current, in milliseconds on
 * the gateway's clock; negative infinity before all of them have been read.
 */
export const confirmedAt = (state: GatewayState): number => {
  const timely = collectionsOf(state).filter((name) => name !== 'gateways');
  return Math.min(...timely.map((name) => state.collections[name].confirmedAt));
};
