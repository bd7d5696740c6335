/**
 * Probes the store. A watch that hears nothing may be waiting or cut off; a probe tells them apart
 * within a second, and starts the watches again once the store answers after a loss. A gateway that
 * learns from a reader and has not lost the store itself makes no probes.
 */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { resumeCollections } from './apply-collections.js';

/** Time between two probes while the store answers: of a gateway that nobody follows, and of one that tells others. */
const PROBE_INTERVAL_MS = 1_500;
const READER_INTERVAL_MS = 750;

/** Time between two probes while the store does not answer, and where others are asked as well. */
const UNREACHABLE_INTERVAL_MS = 400;
const UNREACHABLE_FOLLOWER_INTERVAL_MS = 1_500;

/** Time for the answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 700;

/** Makes a probe at once. */
const startProbe = (state: GatewayState): GatewayEffect => {
  state.store.isProbed = true;
  return { type: 'call-store', call: { type: 'probe', timeoutMs: PROBE_TIMEOUT_MS } };
};

const hasCurrentSource = ({ reading }: GatewayState): boolean =>
  [...reading.sources.values()].some(({ isCurrent }) => isCurrent === true);

const isProbeNeeded = (state: GatewayState): boolean =>
  state.reading.isReading || !state.store.reachable || !hasCurrentSource(state);

/** Begins to probe where that is wanted and has not begun. */
export const probeIfNeeded = (state: GatewayState): GatewayEffect[] =>
  state.store.isProbed || !isProbeNeeded(state) ? [] : [startProbe(state)];

/** Handles `probe-due`. */
export const handleProbeDue = (state: GatewayState): GatewayEffect[] => {
  state.store.isProbed = false;
  return probeIfNeeded(state);
};

const probeIntervalMs = ({ store, reading }: GatewayState): number => {
  if (store.reachable) {
    return reading.followers.size > 0 ? READER_INTERVAL_MS : PROBE_INTERVAL_MS;
  }
  const isReader = reading.sources.size === 0 || reading.followers.size > 0;
  return isReader ? UNREACHABLE_INTERVAL_MS : UNREACHABLE_FOLLOWER_INTERVAL_MS;
};

/** Handles the end of a probe. */
export const handleProbeEnded = (
  state: GatewayState,
  answered: boolean,
  at: number,
): GatewayEffect[] => {
  const { store } = state;
  const wasReachable = store.reachable;
  store.reachable = answered;
  const next: GatewayEffect = { type: 'set-probe-timer', at: at + probeIntervalMs(state) };
  if (answered === wasReachable) {
    return [next];
  }
  if (answered) {
    store.regainedAt = at;
  } else {
    store.lostSince = at;
  }
  const change: BeliefChange = answered
    ? { event: 'store-regained', lostForMs: Math.round(at - store.lostSince) }
    : { event: 'store-lost' };
  const level = answered ? 'info' : 'warn';
  const resumed = answered ? resumeCollections(state) : [];
  return [...resumed, { type: 'write-log', level, part: 'store', change }, next];
};
