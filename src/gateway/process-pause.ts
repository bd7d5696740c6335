/**
 * Recovery after a process pause. The gateway's state may be outdated after the process was stopped or its machine suspended.
 * The gateway is not ready for callers until the store, or a reader, has confirmed the state; requests that arrive in the
 * meantime are held.
 */
import type { GatewayEffect } from './effect.js';
import type { ProcessPaused } from './event.js';
import { updateReadiness } from './readiness.js';
import type { StateChange } from './log/log-event.js';
import { routeHeldRequests } from './requests/accept-request.js';
import type { GatewayState } from './state.js';
import { confirmedAt } from './store/confirmation.js';

/**
 * Longest time to wait for a confirmation, in milliseconds. After that the gateway serves with the state that it has, as all
 * gateways do while the store is unreachable; otherwise it would serve nobody.
 */
const MAX_CONFIRM_MS = 1_000;

/**
 * Handles `stood-still`. Confirmation is requested only when the reading timer fires, so that input received during the pause
 * is handled first: it may contain old updates of a reader.
 */
export const handleProcessPaused = (
  state: GatewayState,
  { at, forMs, suspendedMs }: ProcessPaused,
): GatewayEffect[] => {
  const change: StateChange = { event: 'stood-still', forMs: Math.round(forMs), suspendedMs };
  const log: GatewayEffect = { type: 'write-log', level: 'warn', part: 'lifecycle', change };
  if (state.phase !== 'serving') {
    return [log];
  }
  state.pauseRecovery = { since: at, requestedAt: undefined };
  return [log, ...updateReadiness(state), { type: 'set-reading-timer', at }];
};

/** Whether a reader has reported since `requestedAt` that it is current, or the store itself has been read. */
const isConfirmed = (state: GatewayState, requestedAt: number): boolean =>
  confirmedAt(state) > requestedAt ||
  [...state.reading.sources.values()].some(({ isCurrent }) => isCurrent === true);

/** Ends the recovery when the state has been confirmed, or when it cannot be confirmed. */
export const finishPauseRecovery = (state: GatewayState, at: number): GatewayEffect[] => {
  const { pauseRecovery, reading, store } = state;
  if (pauseRecovery?.requestedAt === undefined) {
    return [];
  }
  const isStoreLost = reading.isReading && !store.reachable;
  const wasConfirmed = isConfirmed(state, pauseRecovery.requestedAt);
  const afterMs = at - pauseRecovery.since;
  if (!wasConfirmed && !isStoreLost && afterMs < MAX_CONFIRM_MS) {
    return [];
  }
  state.pauseRecovery = undefined;
  const change: StateChange = {
    event: 'went-on',
    afterMs: Math.round(afterMs),
    isConfirmed: wasConfirmed,
  };
  return [
    { type: 'write-log', level: 'info', part: 'lifecycle', change },
    ...routeHeldRequests(state, at),
    ...updateReadiness(state),
  ];
};
