/** Cancels attempts on behalf of their coordinator. */
import type { Effect } from '../effect.js';
import type { AttemptId, NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { releaseHeld } from './release-held.js';
import type { HeldAttempt } from './state.js';

const cancelHeldAttempt = (state: CoreState, held: HeldAttempt, effects: Effect[]): void => {
  if (held.sentAt === undefined) {
    held.feed.queue.remove(held);
    releaseHeld(state, held);
    return;
  }
  if (!held.isCancelled && held.context.safeToRepeat) {
    effects.push({ type: 'cancel-attempt', attempt: held.leg.attempt });
  }
  held.isCancelled = true;
};

/** Cancels attempts of `coordinator`; ignores attempts of other coordinators. */
export const cancelLegs = (
  state: CoreState,
  coordinator: NodeId,
  attempts: readonly AttemptId[],
  at: number,
  effects: Effect[],
): void => {
  void at;
  for (const attempt of attempts) {
    const held = state.replica.held.get(attempt);
    if (held !== undefined && held.coordinator === coordinator) {
      cancelHeldAttempt(state, held, effects);
    }
  }
};

/** Cancels all attempts of a coordinator whose link was lost. */
export const cancelLegsOfCoordinator = (
  state: CoreState,
  coordinator: NodeId,
  effects: Effect[],
): void => {
  for (const held of [...state.replica.held.values()]) {
    if (held.coordinator === coordinator) {
      cancelHeldAttempt(state, held, effects);
    }
  }
};
