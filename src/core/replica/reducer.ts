/** The replica slice: feeds replicas with attempts of the queries of this node and of its peers. */
import type { Effect } from '../effect.js';
import type { Event, LinkMessageArrived, TimerFired } from '../event.js';
import type { CoreState } from '../state.js';
import { acceptLegs } from './accept-legs.js';
import { cancelLegs, cancelLegsOfCoordinator } from './cancel-legs.js';
import { handleAttemptsEnded } from './handle-attempts-ended.js';
import { checkSilence } from './replica-silence.js';
import { discardDelayedResults, releaseDelayedResults } from './report-result.js';

const handleLinkMessage = (
  state: CoreState,
  event: LinkMessageArrived,
  effects: Effect[],
): void => {
  const { from, message, at } = event;
  if (message.type === 'leg-batch') {
    const { context, legs, remainingMs, mayWait = false } = message;
    const deadlineAt = at + remainingMs;
    const batch = { coordinator: from, context, legs, deadlineAt, mayWait };
    acceptLegs(state, batch, at, effects);
  } else if (message.type === 'leg-cancel') {
    cancelLegs(state, from, message.attempts, at, effects);
  }
};

const handleTimer = (state: CoreState, event: TimerFired, effects: Effect[]): void => {
  if (event.key.purpose === 'results-due') {
    releaseDelayedResults(state, event.at);
  } else {
    handleSilenceTimer(state, event, effects);
  }
};

const handleSilenceTimer = (state: CoreState, event: TimerFired, effects: Effect[]): void => {
  const feed = state.replica.feeds.get(event.key.subject);
  if (feed !== undefined) {
    checkSilence(state, feed, event.at, effects);
  }
};

/** Handles an event of the replica slice. */
export const reduceReplica = (state: CoreState, event: Event): Effect[] => {
  const effects: Effect[] = [];
  switch (event.type) {
    case 'link-message-arrived':
      handleLinkMessage(state, event, effects);
      break;
    case 'attempts-ended':
      handleAttemptsEnded(state, event.results, event.at, effects);
      break;
    case 'timer-fired':
      handleTimer(state, event, effects);
      break;
    case 'stop-requested':
      releaseDelayedResults(state, event.at);
      break;
    case 'link-lost':
      discardDelayedResults(state, event.peer);
      cancelLegsOfCoordinator(state, event.peer, effects);
      break;
    default:
      break;
  }
  return effects;
};
