/**
 * Confirming reads of the store. One gateway makes them for the readers of all zones, in place of its probes, so that their
 * number does not grow with the number of zones. Other gateways make them only while nobody else confirms their keys.
 */
import type { GatewayEffect } from '../effect.js';
import { confirmingReader } from '../readers/candidates.js';
import type { GatewayState } from '../state.js';
import { requiredTiming } from './key-admission.js';

/** Timeout of a confirming read, in milliseconds: that of a probe, since it is used in place of one. */
const READ_TIMEOUT_MS = 700;

/** Whether this gateway makes the confirming reads for all zones. */
export const isConfirmingReader = (state: GatewayState, at: number): boolean =>
  state.reading.isReading && confirmingReader(state, at)?.name === state.settings.node;

/**
 * Whether the next probe of the store is made as a confirming read: this gateway reads for all zones and its last read is
 * not recent, or no other gateway has confirmed its keys recently.
 */
export const isConfirmingProbe = (state: GatewayState, at: number): boolean => {
  const timing = requiredTiming(state);
  const { peerConfirmedAt, confirmedAt } = state.keyConfirmation;
  if (timing === undefined) {
    return false;
  }
  return isConfirmingReader(state, at)
    ? at - confirmedAt >= timing.readAgeMs
    : at - peerConfirmedAt >= timing.probeReadAgeMs;
};

/** Makes a confirming read. */
export const startConfirmingRead = (state: GatewayState, at: number): GatewayEffect => {
  const { keyConfirmation, store } = state;
  const intervalMs = requiredTiming(state)?.ownReadIntervalMs ?? 0;
  keyConfirmation.readNotBefore = at + Math.max(READ_TIMEOUT_MS, intervalMs);
  keyConfirmation.repeatReadAt = Number.POSITIVE_INFINITY;
  keyConfirmation.readSpread = state.random.next();
  store.isProbed = true;
  return { type: 'call-store', call: { type: 'confirm', timeoutMs: READ_TIMEOUT_MS } };
};
