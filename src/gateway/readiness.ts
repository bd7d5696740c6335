/** Readiness of a gateway. */
import { isReadyForKeys } from './authorization/key-admission.js';
import type { GatewayEffect } from './effect.js';
import type { StateChange } from './log/log-event.js';
import { type GatewayState, canServe } from './state.js';

/**
 * Updates the readiness that the load balancer reads, and logs a change of it. A gateway whose API keys are unconfirmed is
 * not ready for callers, but serves other gateways, whose callers are admitted there.
 */
export const updateReadiness = (state: GatewayState): GatewayEffect[] => {
  const servesPeers = canServe(state) && (state.phase === 'starting' || state.phase === 'serving');
  const ready = servesPeers && isReadyForKeys(state);
  if (ready === state.ready && servesPeers === state.servesPeers) {
    return [];
  }
  const wasReady = state.ready;
  state.ready = ready;
  state.servesPeers = servesPeers;
  if (servesPeers) {
    state.phase = 'serving';
  }
  const effect: GatewayEffect = {
    type: 'set-readiness',
    ready,
    ...(servesPeers !== ready && { servesPeers }),
  };
  if (ready === wasReady) {
    return [effect];
  }
  const change: StateChange = { event: 'ready', ready, phase: state.phase };
  return [effect, { type: 'write-log', level: 'info', part: 'lifecycle', change }];
};
