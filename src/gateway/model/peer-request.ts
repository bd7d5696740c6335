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
  /** Identifies the keys of that version, since a restored store may assign its number again; null if there is none. */
  readonly keysHash: number | null;
}

/** Asks a gateway that keeps the limit of a tenant for tokens. Totals refer to the sender's process and to the tenant. */
export interface TokenRequest {
  readonly type: 'tokens';
  readonly tenant: string;
  /** Identifies the sender's process. */
  readonly process: number;
  /** Rises with each request; only the answer to the newest one leases tokens. */
  readonly sequence: number;
  /** Total of leased tokens used. */
  readonly used: number;
  /** Leased tokens that are neither used nor expired. */
  readonly unused: number;
  /** Tokens of requests that ended without having run, if their use was reported before. */
  readonly returned: number;
  /** Smallest `returnLimit` of an answer from before the returned tokens were used; 0 if none are returned. */
  readonly returnLimit: number;
  /** Tokens needed at once, for waiting requests. */
  readonly needed: number;
  /** Tokens wanted ahead of further requests, in addition to the unused ones. */
  readonly ahead: number;
  /** Class of the most urgent request that waits for a token. */
  readonly rank: ClassRank;
}

/** Answers a `TokenRequest`. */
export interface TokenAnswer {
  readonly type: 'tokens';
  readonly tenant: string;
  readonly sequence: number;
  /** The role in which the sender answers; `none` if it does not keep the tenant's limit. */
  readonly role: 'owner' | 'backup' | 'none';
  /** Tokens for waiting requests; each is used within a fixed short time of the request or not at all. */
  readonly granted: number;
  /** Tokens leased ahead of further requests. */
  readonly ahead: number;
  /** Whether the unused tokens named in the request are still valid; if not, the receiver discards them. */
  readonly isRenewed: boolean;
  /** How long leased tokens are valid from when the request was sent, in milliseconds. */
  readonly validMs: number;
  /** Total inflow of the sender's bucket up to which tokens that are used from now on can be returned. */
  readonly returnLimit: number;
  /** Time until a further token is available, in milliseconds; 0 if all that was needed was granted. */
  readonly availableInMs: number;
}

/** Any request between gateways. */
export type PeerRequest = KeyConfirmationRequest | TokenRequest;

/** Any answer to such a request. */
export type PeerAnswer = KeyConfirmationAnswer | TokenAnswer;
