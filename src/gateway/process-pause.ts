/**
 * What a gateway does after its process stood still, stopped or suspended: what it knows may be out of date, and it takes no
 * callers until the store, or a gateway that reads it, has confirmed it. Requests that come meanwhile are held.
 */
import type { GatewayEffect } from './effect.js';
import type { ProcessPaused } from './event.js';
import { updateReadiness } from './lifecycle.js';
import type { StateChange } from './log/log-event.js';
import { routeHeldRequests } from './requests/accept-request.js';
import type { GatewayState } from './state.js';
import { confirmedAt } from './store/confirmation.js';

/**
 * A gateway that nothing confirms goes on after this time with what it knows, in milliseconds, as all do while the store is
 * away: it would be of no use to anybody otherwise.
 */
const MAX_CONFIRM_MS = 1_000;

/**
 * Handles `stood-still`. What had come before the process went on is read first: it may hold what a reader told long ago.
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

/** Whether a reader, asked anew, has said that it tells all that the store holds, or the store itself has been read. */
const isConfirmed = (state: GatewayState, requestedAt: number): boolean =>
  confirmedAt(state) > requestedAt ||
  [...state.reading.sources.values()].some(({ isCurrent }) => isCurrent === true);

/** Goes on once what is known has been confirmed, or nothing can confirm it. */
export const finishPauseRecovery = (state: GatewayState, at: number): GatewayEffect[] => {
  const { pauseRecovery, reading, store } = state;
  if (pauseRecovery?.requestedAt === undefined) {
    return [];
  }
  const isLost = reading.isReading && !store.reachable;
  const wasConfirmed = isConfirmed(state, pauseRecovery.requestedAt);
  const afterMs = at - pauseRecovery.since;
  if (!wasConfirmed && !isLost && afterMs < MAX_CONFIRM_MS) {
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
