/** Determines whether this gateway's knowledge of API keys is recent enough to admit requests with keys. */
import type { GatewayEffect } from '../effect.js';
import type { PeerRequestAnswered, PeerRequestReceived } from '../event.js';
import type { KeyConfirmationAnswer, KeyConfirmationRequest } from '../model/peer-request.js';
import type { GatewayState } from '../state.js';

/** Whether requests with keys may be admitted at time `at`. */
export const areKeysConfirmed = (_state: GatewayState, _at: number): boolean => true;

/** Handles another gateway's request for this gateway's confirmation. */
export const handleConfirmationRequest = (
  _state: GatewayState,
  _received: PeerRequestReceived,
  _request: KeyConfirmationRequest,
): GatewayEffect[] => [];

/** Handles the answer to this gateway's request. */
export const handleConfirmationAnswer = (
  _state: GatewayState,
  _answered: PeerRequestAnswered,
  _answer: KeyConfirmationAnswer,
): GatewayEffect[] => [];

/** Handles the timer `key-confirmation`. */
export const handleConfirmationDue = (_state: GatewayState, _at: number): GatewayEffect[] => [];
