/**
 * Probes the store. A watch that hears nothing may be waiting or cut off; a probe tells them apart
 * within a second, and starts both watches again once the store answers after a loss.
 */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { COLLECTION_NAMES } from './collection.js';
import { callNow } from './follow-collection.js';

/** Time between two probes while the store answers, and while it does not, in milliseconds. */
const PROBE_INTERVAL_MS = 1_500;
const LOST_INTERVAL_MS = 400;

/** Time for the answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 700;

/** Makes a probe at once. */
export const probeNow = (): GatewayEffect => ({
  type: 'call-store',
  call: { type: 'probe', timeoutMs: PROBE_TIMEOUT_MS },
});

/** Watches from before a loss may hang on connections that say nothing more. */
const restartWatches = (state: GatewayState): GatewayEffect[] =>
  COLLECTION_NAMES.map((name) => callNow(state.collections[name]));

/** Handles the end of a probe. */
export const takeProbe = (state: GatewayState, answered: boolean, at: number): GatewayEffect[] => {
  const { store } = state;
  const wasReachable = store.reachable;
  store.reachable = answered;
  if (!answered && wasReachable) {
    store.lostSince = at;
  }
  const interval = answered ? PROBE_INTERVAL_MS : LOST_INTERVAL_MS;
  const next: GatewayEffect = { type: 'set-probe-timer', at: at + interval };
  if (answered === wasReachable) {
    return [next];
  }
  const change: BeliefChange = answered
    ? { event: 'store-regained', lostForMs: Math.round(at - store.lostSince) }
    : { event: 'store-lost' };
  const level = answered ? 'info' : 'warn';
  const restarts = answered ? restartWatches(state) : [];
  return [...restarts, { type: 'write-log', level, part: 'store', change }, next];
};
