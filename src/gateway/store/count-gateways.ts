/**
 * Counts the gateways that share replicas and budgets. Each registers once in the store under its
 * own name, which a restart keeps; entries of gateways that are gone for good only make shares
 * smaller.
 */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { GatewayState } from '../state.js';

/** Time for an answer, in milliseconds. */
const ANSWER_MS = 1_500;

/** Time between two counts, and before another try after a failure, in milliseconds. */
const COUNT_INTERVAL_MS = 20_000;
const RETRY_MS = 1_500;

/** Writes this gateway's entry. */
export const register = ({ settings }: GatewayState): GatewayEffect => ({
  type: 'call-store',
  call: { type: 'register', name: settings.node, zone: settings.zone, timeoutMs: ANSWER_MS },
});

/** Counts the gateways at once. */
const countNow = (): GatewayEffect => ({
  type: 'call-store',
  call: { type: 'list-gateways', timeoutMs: ANSWER_MS },
});

/** Handles the end of the registration. */
export const takeRegistration = (
  state: GatewayState,
  written: boolean,
  at: number,
): GatewayEffect[] => {
  state.registered = written;
  return [{ type: 'set-gateways-timer', at: at + RETRY_MS }];
};

/** Handles a count; `gateways` is absent when the store did not answer. */
export const takeGatewayCount = (
  state: GatewayState,
  gateways: number | undefined,
  at: number,
): GatewayEffect[] => {
  const interval = gateways === undefined ? RETRY_MS : COUNT_INTERVAL_MS;
  const next: GatewayEffect = { type: 'set-gateways-timer', at: at + interval };
  const previous = state.gateways;
  if (gateways === undefined || gateways === 0 || gateways === previous) {
    return [next];
  }
  state.gateways = gateways;
  const change: BeliefChange = { event: 'gateways-counted', gateways, previous };
  return [{ type: 'write-log', level: 'info', part: 'lifecycle', change }, next];
};

/** Registers if that is still to be done, and counts otherwise. */
export const continueCounting = (state: GatewayState): GatewayEffect =>
  state.registered ? countNow() : register(state);
