/** The once slice: ensures that a request that is not safe to repeat runs at most once. */
import type { Effect } from '../effect.js';
import type { Event, LinkMessageArrived, TimerFired } from '../event.js';
import { identifier, type RequestId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { CLAIM_EXPIRY_INTERVAL_MS } from './claim-timing.js';
import { resendClaim, handleOnceMessage } from './claim.js';
import { removeExpiredClaims } from './keep-claim.js';

const setExpiryTimer = (at: number): Effect => ({
  type: 'set-timer',
  key: { purpose: 'once-expiry', subject: '' },
  at: at + CLAIM_EXPIRY_INTERVAL_MS,
});

const handleTimer = (state: CoreState, { key, at }: TimerFired): Effect[] => {
  switch (key.purpose) {
    case 'once-resend':
      return resendClaim(state, identifier<RequestId>(key.subject), at);
    case 'once-expiry':
      removeExpiredClaims(state, at);
      return [setExpiryTimer(at)];
    default:
      return [];
  }
};

const handleLinkMessage = (
  state: CoreState,
  { from, message, at }: LinkMessageArrived,
): Effect[] => {
  switch (message.type) {
    case 'claim-request':
    case 'claim-reply':
    case 'claim-release':
      return handleOnceMessage(state, from, message, at);
    default:
      return [];
  }
};

/** Handles an event of the once slice. */
export const reduceOnce = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'started':
      return [setExpiryTimer(event.at)];
    case 'timer-fired':
      return handleTimer(state, event);
    case 'link-message-arrived':
      return handleLinkMessage(state, event);
    default:
      return [];
  }
};
