/** Requests of callers, attempts and their results, independent of the protocol. */

import type { KeyDigest } from './tenant.js';

/** Identifies a caller's request or a received subquery within this process. */
export type CallId = number;

/** Identifies one attempt at a replica within this process. */
export type AttemptId = number;

/** Identifies the content of a request: the same for each attempt of the same request, at every gateway. */
export type Fingerprint = string;

/** The parts of a request that decisions depend on; the driver keeps its bytes. */
export interface CallerRequest {
  /** Identifier that the caller gave the request; it is sent to replicas and written to logs. */
  readonly requestId: string;
  readonly fingerprint: Fingerprint;
  readonly host: string;
  readonly path: string;
  /** Digests of the different API keys that the request carries, at most two; absent if it carries none. */
  readonly keyDigests?: readonly KeyDigest[];
  /** How long the caller waits, in milliseconds; absent if it does not say. */
  readonly budgetMs?: number;
  /** It is the first request on its connection, so that the caller has also waited for the connection to open. */
  readonly isFirstOnConnection?: boolean;
  /** The part that exceeds the limits and was discarded; absent if none does. */
  readonly excess?: 'headers' | 'body';
}

/** Why bytes from a caller cannot be parsed as a request. `headers-late`: the headers did not arrive in time. */
export type UnreadableProblem =
  'malformed' | 'cut-off' | 'headers-late' | 'headers-too-large' | 'chunk-extensions-too-large';

/**
 * Why a request ends without the answer of a replica. `replicas-crashed`: replicas crashed while they ran it, now or
 * earlier, and it is too soon for another attempt. `crashes-replicas`: the request is blocked and was sent to no replica.
 * `keys-unconfirmed`: API keys may have been revoked since this gateway last read them. `limit-unavailable`: no gateway that
 * keeps the tenant's limit answers. `no-room`: replicas have more urgent requests than they can run in time. `stopping`: this
 * process ends before the request can be answered.
 */
export type RefusalReason =
  | 'no-configuration'
  | 'no-route'
  | 'no-request-id'
  | 'no-host'
  | 'headers-too-large'
  | 'body-too-large'
  | 'no-replica'
  | 'replicas-full'
  | 'connection-failed'
  | 'answer-lost'
  | 'replica-failed'
  | 'replicas-crashed'
  | 'crashes-replicas'
  | 'too-few-shards'
  | 'deadline'
  | 'key-missing'
  | 'key-unknown'
  | 'keys-unconfirmed'
  | 'over-limit'
  | 'limit-unavailable'
  | 'no-room'
  | 'stopping';

/** A replica's answer, forwarded unchanged. */
export interface PassThrough {
  readonly type: 'pass-through';
  readonly answer: ReplicaAnswer;
}

/** The merged answer of a gather. */
export interface MergedAnswer {
  readonly type: 'merged';
  readonly signatures: readonly string[];
  readonly missingShards: number;
  readonly body: Uint8Array;
}

/** The gateway's own final answer. */
export interface Refusal {
  readonly type: 'refusal';
  readonly reason: RefusalReason;
  /** Whether a replica may have run the request; if false, no replica will run it later either. */
  readonly mayHaveRun: boolean;
  /** Time after which to retry, in milliseconds; absent if a retry does not help. */
  readonly retryAfterMs?: number;
}

/** The final answer to a caller. */
export type CallerResponse = PassThrough | MergedAnswer | Refusal;

/** A request that is being received, or whose answer has not been sent completely. */
export interface OpenExchange {
  readonly requestId: string;
  /** Whether the request has been received completely. */
  readonly isReceived: boolean;
  /** Bytes of answers that wait on its connection, without those that were passed to the kernel. */
  readonly unsentBytes: number;
}

/** A header as received. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** Load that a replica reports. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work relative to the usual one, 1 for as usual; absent if not reported. */
  readonly slowdown?: number;
}

/** A complete answer of a replica that belongs to the request. */
export interface ReplicaAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** The replica's signature of this answer; absent if it gave none. */
  readonly signature?: string;
}

/** The attempt ended with a complete answer. */
export interface AttemptAnswered {
  readonly type: 'answered';
  readonly answer: ReplicaAnswer;
  readonly load?: LoadReport;
  /** The replica closes the connection after the answer. */
  readonly closing: boolean;
}

/** The replica reports that it did not run the request. */
export interface AttemptRefused {
  readonly type: 'refused';
  /** `wrong-instance`: another incarnation now has the address. */
  readonly reason: 'full' | 'wrong-instance';
  readonly load?: LoadReport;
}

/**
 * How an attempt failed without an answer. `refused-connection`: a new connection was accepted and ended before any byte
 * arrived over it, too soon for a run. `reset`: a connection ended before any byte of the answer for another reason.
 * `cut-off`: the connection ended after at least one byte of the answer. `unsigned-answer`: a success, a redirection or a
 * client error without the replica's signature. `endless-answer`: it exceeds a limit on its size. `no-memory`: it was
 * given up because all answers that are being read need too much memory.
 */
export type AttemptProblem =
  | 'connect-refused'
  | 'connect-timeout'
  | 'refused-connection'
  | 'reset'
  | 'timed-out'
  | 'bad-answer'
  | 'endless-answer'
  | 'no-memory'
  | 'unsigned-answer'
  | 'foreign-answer'
  | 'cut-off'
  | 'aborted';

/** The attempt ended without a usable answer. */
export interface AttemptFailed {
  readonly type: 'failed';
  readonly problem: AttemptProblem;
  /** Whether bytes of the request were sent, so that the replica may have run it. */
  readonly mayHaveRun: boolean;
}

/** Result of an attempt. */
export type AttemptResult = AttemptAnswered | AttemptRefused | AttemptFailed;
