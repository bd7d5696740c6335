/**
 * The lifecycle slice: a planned stop refuses new work, finishes work in progress, then ends the
 * process.
 */
import type { Effect } from '../effect.js';
import type { Event } from '../event.js';
import { announceEnd } from '../membership/leave.js';
import { listRing } from '../membership/ring.js';
import { getSelf } from '../membership/self-identity.js';
import type { CoreState } from '../state.js';

/** Interval at which a stopping node checks whether its work is finished, in milliseconds. */
const STOP_CHECK_MS = 50;

/**
 * Minimum time from the announcement of a stop to the end of the process while there are peers, in
 * milliseconds, so that all of them have received the announcement.
 */
const MIN_STOP_MS = 1_000;

/**
 * A check later than this after the previous one shows that the process was paused, in
 * milliseconds.
 */
const STOP_CHECK_LATE_MS = 4 * STOP_CHECK_MS;

const STOP_TIMER = { purpose: 'lifecycle-stop', subject: '' } as const;

const isIdle = (state: CoreState): boolean =>
  state.query.inProgress === 0 &&
  state.replica.attemptsInProgress === 0 &&
  state.editing.inProgress.size === 0;

const isAnnounced = (state: CoreState, at: number): boolean =>
  listRing(state.membership).length === 0 || at - getSelf(state).since >= MIN_STOP_MS;

/** True after a process pause; there may then be unread requests, so the node checks once more. */
const wasPaused = (state: CoreState, at: number): boolean => {
  const late = at - state.stopCheckedAt > STOP_CHECK_LATE_MS;
  state.stopCheckedAt = at;
  return late;
};

const continueStop = (state: CoreState, at: number): Effect[] => {
  if (wasPaused(state, at) || !isIdle(state) || !isAnnounced(state, at)) {
    return [{ type: 'set-timer', key: STOP_TIMER, at: at + STOP_CHECK_MS }];
  }
  state.phase = 'ended';
  return [...announceEnd(state), { type: 'end-process' }];
};

const beginStop = (state: CoreState, at: number): Effect[] => {
  if (state.phase === 'stopping' || state.phase === 'ended') {
    return [];
  }
  state.phase = 'stopping';
  state.stopCheckedAt = at;
  return [{ type: 'set-timer', key: STOP_TIMER, at: at + STOP_CHECK_MS }];
};

/** Handles an event of the lifecycle slice. */
export const reduceLifecycle = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'stop-requested':
      return beginStop(state, event.at);
    case 'timer-fired':
      return event.key.purpose === 'lifecycle-stop' ? continueStop(state, event.at) : [];
    default:
      return [];
  }
};
