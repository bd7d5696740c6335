/** Admits requests of tenants within their limits, which hold over all gateways together. */
import type { GatewayEffect } from '../effect.js';
import type { PeerRequestAnswered, PeerRequestReceived, RequestReceived } from '../event.js';
import type { TokenAnswer, TokenRequest } from '../model/peer-request.js';
import type { CallId } from '../model/request.js';
import type { Tenant } from '../model/tenant.js';
import type { GatewayState } from '../state.js';

/**
 * Whether a request is within its tenant's limit. `waiting`: a token was requested from another gateway; the request is
 * routed again when the answer arrives.
 */
export type TokenResult =
  | { readonly type: 'granted' }
  | { readonly type: 'waiting'; readonly effects: readonly GatewayEffect[] }
  | {
      readonly type: 'refused';
      readonly reason: 'over-limit' | 'limit-unavailable';
      readonly retryAfterMs: number;
      readonly effects: readonly GatewayEffect[];
    };

/** Takes a token of `tenant` for a request. */
export const takeToken = (
  _state: GatewayState,
  _tenant: Tenant,
  _event: RequestReceived,
  _at: number,
): TokenResult => ({ type: 'granted' });

/** Returns the token of a request that ended without having run. */
export const returnToken = (_state: GatewayState, _tenant: string): void => undefined;

/** Removes a request that waits for a token, as its caller has left; without effect if it does not wait. */
export const removeWaitingCall = (_state: GatewayState, _call: CallId): boolean => false;

/** Number of requests that wait for tokens. */
export const waitingForTokens = (_state: GatewayState): number => 0;

/** Handles another gateway's request for tokens. */
export const handleTokenRequest = (
  _state: GatewayState,
  _received: PeerRequestReceived,
  _request: TokenRequest,
): GatewayEffect[] => [];

/** Handles the answer to this gateway's request for tokens. */
export const handleTokenAnswer = (
  _state: GatewayState,
  _answered: PeerRequestAnswered,
  _answer: TokenAnswer,
): GatewayEffect[] => [];

/** Handles the timer `quotas`. */
export const handleQuotasDue = (_state: GatewayState, _at: number): GatewayEffect[] => [];
