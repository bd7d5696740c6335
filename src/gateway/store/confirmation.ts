/** Since when nothing has shown that this gateway still knows all that the store holds. */
import { collectionsOf, type GatewayState } from '../state.js';

/**
 * When it was last known that the store holds nothing newer of any collection whose changes must be acted on
 * in time, in milliseconds on the gateway's clock; negative infinity before all have been read.
 */
export const confirmedAt = (state: GatewayState): number => {
  const timely = collectionsOf(state).filter((name) => name !== 'gateways');
  return Math.min(...timely.map((name) => state.collections[name].confirmedAt));
};
