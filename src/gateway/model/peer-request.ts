/**
 * Requests between gateways that are answered once, over the connection on which they arrived. A request whose connection
 * is lost gets no answer; the sender sets a timer where it needs one.
 */
import type { ClassRank } from '../scheduling/class-rank.js';

/** Identifies a request between gateways within the process that sends it. */
export type PeerRequestId = number;

/** Identifies a received request within this process. */
export type PeerExchangeId = number;

/** Asks when the store last confirmed the configuration to the receiver. */
export interface KeyConfirmationRequest {
  readonly type: 'key-confirmation';
}

/** Answers a `KeyConfirmationRequest`. */
export interface KeyConfirmationAnswer {
  readonly type: 'key-confirmation';
  /** Age of the confirmation by the sender's clock, in milliseconds; null if there is none. */
  readonly ageMs: number | null;
  /** Version of the configuration that was confirmed; null if there is none. */
  readonly version: number | null;
}

/** Asks the owner of a tenant's limit for tokens. Counts refer to the sender's process and to the receiver. */
export interface TokenRequest {
  readonly type: 'tokens';
  readonly tenant: string;
  /** Identifies the sender's process; another one starts with counts of 0. */
  readonly process: number;
  /** Rises with each request; the sender accepts only the answer to the newest one. */
  readonly sequence: number;
  /** Tokens used so far. */
  readonly used: number;
  /** Tokens granted so far, as far as the sender has received the grants and they have not expired unused. */
  readonly granted: number;
  /** Tokens wanted in addition to the unused ones. */
  readonly wanted: number;
  /** Class of the most urgent request that waits for a token. */
  readonly rank: ClassRank;
}

/** Answers a `TokenRequest`. */
export interface TokenAnswer {
  readonly type: 'tokens';
  readonly tenant: string;
  readonly sequence: number;
  /** Tokens granted so far, including those of this answer. */
  readonly granted: number;
  /** How long unused tokens are valid from when the request was sent, in milliseconds. */
  readonly validMs: number;
  /** Time until further tokens are available, in milliseconds; 0 if all that was wanted was granted. */
  readonly availableInMs: number;
}

/** Any request between gateways. */
export type PeerRequest = KeyConfirmationRequest | TokenRequest;

/** Any answer to such a request. */
export type PeerAnswer = KeyConfirmationAnswer | TokenAnswer;
