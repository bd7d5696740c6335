/** The keepers slice: writes rosters ahead of their periods. */
import type { Effect } from '../effect.js';
import type { Event } from '../event.js';
import type { CoreState } from '../state.js';
import { ROSTER_CHECK_MS } from './keeper-timing.js';
import { writeMissingRoster } from './write-roster.js';

const ROSTER_TIMER = { purpose: 'keepers-roster', subject: '' } as const;

const scheduleCheck = (at: number): Effect => ({
  type: 'set-timer',
  key: ROSTER_TIMER,
  at: at + ROSTER_CHECK_MS,
});

const handleStarted = (state: CoreState, at: number): Effect[] => {
  state.keepers.startedAt = at;
  state.keepers.startIncarnation = state.self.incarnation;
  state.keepers.wallOffset = state.self.incarnation - at;
  return [scheduleCheck(at)];
};

/** Handles an event of the keepers slice. */
export const reduceKeepers = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'started':
      return handleStarted(state, event.at);
    case 'timer-fired':
      return event.key.purpose === 'keepers-roster'
        ? [...writeMissingRoster(state, event.at), scheduleCheck(event.at)]
        : [];
    default:
      return [];
  }
};
