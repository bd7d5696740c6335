/** The admission slice: limits that apply to all nodes together. */
import type { GrantMessage } from '../../protocol/grant-messages.js';
import type { Effect } from '../effect.js';
import type { Event, LinkMessageArrived } from '../event.js';
import type { CoreState } from '../state.js';
import { handleGrantMessage } from './handle-grant-message.js';
import { refreshLimits } from './refresh.js';

/**
 * Sequence numbers reserved for each millisecond of the incarnation, which counts from 1970, so that no
 * two processes of a node share one.
 */
const SEQUENCES_PER_MS = 1_024;

const handleStarted = (state: CoreState, at: number): Effect[] => {
  state.admission.sequence = state.self.incarnation * SEQUENCES_PER_MS;
  return refreshLimits(state, at);
};

const handleLinkMessage = (state: CoreState, event: LinkMessageArrived): Effect[] => {
  switch (event.message.type) {
    case 'grant-request':
    case 'grant-return':
    case 'grant':
    case 'lease-request':
    case 'lease-vote':
      return handleGrantMessage(state, event.from, event.message satisfies GrantMessage, event.at);
    default:
      return [];
  }
};

/** Handles an event of the admission slice. */
export const reduceAdmission = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'started':
      return handleStarted(state, event.at);
    case 'timer-fired':
      return event.key.purpose === 'admission-refresh' ? refreshLimits(state, event.at) : [];
    case 'link-message-arrived':
      return handleLinkMessage(state, event);
    default:
      return [];
  }
};
