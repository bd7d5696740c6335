/** Removes attempts that have ended from the feeder's state. */
import type { CoreState } from '../state.js';
import type { HeldAttempt } from './state.js';

/** Removes an attempt that is no longer queued or in flight. */
export const releaseHeld = (state: CoreState, held: HeldAttempt): void => {
  state.replica.held.delete(held.leg.attempt);
  state.replica.attemptsInProgress -= 1;
  held.batch.open -= 1;
};
