/**
 * Probes the store. A watch without an answer may be waiting or have lost its connection; a probe distinguishes the two
 * within a second, and the first successful probe after an outage restarts the watches. A gateway that follows a current
 * reader and can reach the store sends no probes.
 */
import { isConfirmingProbe, startConfirmingRead } from '../authorization/confirming-read.js';
import type { GatewayEffect } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';
import { resumeCollections } from './apply-collections.js';

/** Time between two probes while the store answers, in milliseconds: without followers, and with followers. */
const PROBE_INTERVAL_MS = 1_500;
const READER_INTERVAL_MS = 750;

/** Time between two probes while the store is unreachable, in milliseconds: of readers, and of other gateways. */
const UNREACHABLE_INTERVAL_MS = 400;
const UNREACHABLE_FOLLOWER_INTERVAL_MS = 1_500;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 700;

/** Sends a probe immediately, as a confirming read where the API keys must be confirmed. */
const startProbe = (state: GatewayState, at: number): GatewayEffect => {
  if (isConfirmingProbe(state, at)) {
    return startConfirmingRead(state, at);
  }
  state.store.isProbed = true;
  return { type: 'call-store', call: { type: 'probe', timeoutMs: PROBE_TIMEOUT_MS } };
};

const hasCurrentSource = ({ reading }: GatewayState): boolean =>
  [...reading.sources.values()].some(({ isCurrent }) => isCurrent === true);

const isProbeNeeded = (state: GatewayState): boolean =>
  state.reading.isReading || !state.store.reachable || !hasCurrentSource(state);

/** Starts probing if it is needed and no probe is pending or scheduled. */
export const probeIfNeeded = (state: GatewayState, at: number): GatewayEffect[] =>
  state.store.isProbed || !isProbeNeeded(state) ? [] : [startProbe(state, at)];

/** Handles `probe-due`. */
export const handleProbeDue = (state: GatewayState, at: number): GatewayEffect[] => {
  state.store.isProbed = false;
  return probeIfNeeded(state, at);
};

const probeIntervalMs = ({ store, reading }: GatewayState): number => {
  if (store.reachable) {
    return reading.followers.size > 0 ? READER_INTERVAL_MS : PROBE_INTERVAL_MS;
  }
  const isReader = reading.sources.size === 0 || reading.followers.size > 0;
  return isReader ? UNREACHABLE_INTERVAL_MS : UNREACHABLE_FOLLOWER_INTERVAL_MS;
};

/** Handles the end of a probe or a confirming read: updates the reachability of the store and schedules the next probe. */
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
  const change: StateChange = answered
    ? { event: 'store-regained', lostForMs: Math.round(at - store.lostSince) }
    : { event: 'store-lost' };
  const level = answered ? 'info' : 'warn';
  const resumed = answered ? resumeCollections(state) : [];
  return [...resumed, { type: 'write-log', level, part: 'store', change }, next];
};
