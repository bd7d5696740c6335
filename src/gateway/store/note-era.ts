/** Notes the era of the store that its answers name. */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { compareEras, type StoreEra } from './store-position.js';

/** Takes note of the era of an answer of the store. */
export const noteEra = ({ store }: GatewayState, era: StoreEra): GatewayEffect[] => {
  const { era: previous } = store;
  if (era === undefined || compareEras(era, previous) <= 0) {
    return [];
  }
  store.era = era;
  if (previous === undefined) {
    return [];
  }
  const change: BeliefChange = { event: 'store-era-changed', era, previous };
  return [{ type: 'write-log', level: 'info', part: 'store', change }];
};
