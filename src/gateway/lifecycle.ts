/** Start, readiness and stop of a gateway. */
import { isReadyForKeys } from './authorization/key-admission.js';
import type { GatewayEffect } from './effect.js';
import type { StopDue, StopRequested } from './event.js';
import type { StateChange } from './log/log-event.js';
import { waitingForTokens } from './quotas/take-token.js';
import { type GatewayState, canServe } from './state.js';

/**
 * Time after the request to stop in which connections of callers are still accepted, in milliseconds: the load balancer
 * checks readiness every second and removes a gateway after two failed checks.
 */
const ACCEPT_WHILE_STOPPING_MS = 3_200;

/** Part of the grace period that is reserved for the end of the process, in milliseconds. */
const END_MARGIN_MS = 500;

/** Interval of the checks whether all requests are finished during a stop, in milliseconds. */
const STOP_CHECK_INTERVAL_MS = 100;

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

/** Number of requests that have not been answered. */
const requestsInProgress = (state: GatewayState): number =>
  state.requests.size + state.held.size + waitingForTokens(state);

/** Handles `stop-requested`. */
export const handleStopRequested = (
  state: GatewayState,
  { at }: StopRequested,
): GatewayEffect[] => {
  if (state.phase === 'stopping' || state.phase === 'ended') {
    return [];
  }
  state.phase = 'stopping';
  state.stoppingSince = at;
  const change: StateChange = {
    event: 'stopping',
    requests: requestsInProgress(state),
  };
  return [
    { type: 'write-log', level: 'info', part: 'lifecycle', change },
    ...updateReadiness(state),
    { type: 'announce-stop' },
    { type: 'set-stop-timer', at: at + STOP_CHECK_INTERVAL_MS },
  ];
};

/**
 * Handles `stop-due`: closes the callers' port, and ends the process at a later check at which nothing is in progress, or when
 * the grace period is over. A process that was not scheduled for a while has not read yet what callers sent meanwhile.
 */
export const handleStopDue = (state: GatewayState, { at }: StopDue): GatewayEffect[] => {
  const elapsed = at - state.stoppingSince;
  const isGraceOver = elapsed >= state.settings.bounds.graceMs - END_MARGIN_MS;
  const isIdle = state.isCallerPortClosed && requestsInProgress(state) === 0;
  if (isGraceOver || isIdle) {
    state.phase = 'ended';
    const change: StateChange = {
      event: 'ended',
      requests: state.requests.size,
      stopMs: Math.round(elapsed),
    };
    const log: GatewayEffect = { type: 'write-log', level: 'info', part: 'lifecycle', change };
    return [log, { type: 'end-process' }];
  }
  state.isCallerPortClosed ||= elapsed >= ACCEPT_WHILE_STOPPING_MS;
  const close: GatewayEffect[] = state.isCallerPortClosed ? [{ type: 'close-caller-port' }] : [];
  return [...close, { type: 'set-stop-timer', at: at + STOP_CHECK_INTERVAL_MS }];
};
