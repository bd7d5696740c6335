/** Requests of callers, and what they are answered, in the gateway's own terms. */

/** Names a request inside this process. */
export type CallId = number;

/** Names one attempt at a replica inside this process. */
export type AttemptId = number;

/** Names what a replica is asked to do: the same for each try of the same request, at every gateway. */
export type Fingerprint = string;

/** What decides about a request; its bytes stay at the edge. */
export interface CallerRequest {
  /** The identifier that the caller chose; it goes to replicas and into logs. */
  readonly requestId: string;
  readonly fingerprint: Fingerprint;
  readonly host: string;
  readonly path: string;
  /** How long the caller waits, in milliseconds; absent where it did not say. */
  readonly budgetMs?: number;
  /** It is the first one on its connection: its caller has waited for the connection before. */
  readonly isFirstOnConnection?: boolean;
  /** What of it is larger than the limits allow, and was not kept; absent where nothing is. */
  readonly excess?: 'headers' | 'body';
}

/** Why what a caller sent cannot be read as a request. `headers-late`: they did not come in time. */
export type UnreadableProblem =
  'malformed' | 'cut-off' | 'headers-late' | 'headers-too-large' | 'chunk-extensions-too-large';

/**
 * Why a request ends without the answer of a replica. `replicas-crashed`: they ended while they ran it, or
 * have before and it is too soon to try it again.
 * `crashes-replicas`: it is blocked, and was sent to none.
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
  | 'deadline';

/** A replica's answer, handed on unchanged. */
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
  /** Whether a replica may have run the request; if not, it never will. */
  readonly mayHaveRun: boolean;
  /** When to come back, in milliseconds; absent where coming back does not help. */
  readonly retryAfterMs?: number;
}

/** The final answer to a caller. */
export type CallerResponse = PassThrough | MergedAnswer | Refusal;

/** A header as it stood on the wire. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** What a replica says of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How much longer than usual work takes there now, 1 for as usual; absent where it does not say. */
  readonly slowdown?: number;
}

/** A whole answer of a replica that belongs to the request. */
export interface ReplicaAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** The replica's signature of this answer; absent where it gave none. */
  readonly signature?: string;
}

/** A whole answer. */
export interface AttemptAnswered {
  readonly type: 'answered';
  readonly answer: ReplicaAnswer;
  readonly load?: LoadReport;
  /** The replica closes this connection after the answer. */
  readonly closing: boolean;
}

/** The replica says that it did not run the request. */
export interface AttemptRefused {
  readonly type: 'refused';
  /** `wrong-instance`: another incarnation has the address. */
  readonly reason: 'full' | 'wrong-instance';
  readonly load?: LoadReport;
}

/**
 * How an attempt failed without an answer. `refused-connection`: a new connection was accepted and
 * reset before any byte came over it. `unsigned-answer`: a redirection or a client error without the
 * replica's signature.
 */
export type AttemptProblem =
  | 'connect-refused'
  | 'connect-timeout'
  | 'refused-connection'
  | 'reset'
  | 'timed-out'
  | 'bad-answer'
  | 'unsigned-answer'
  | 'foreign-answer'
  | 'cut-off'
  | 'aborted';

/** No usable answer came. */
export interface AttemptFailed {
  readonly type: 'failed';
  readonly problem: AttemptProblem;
  /** Whether bytes of the request were sent, so that it may have run. */
  readonly mayHaveRun: boolean;
}

/** How an attempt ended. */
export type AttemptResult = AttemptAnswered | AttemptRefused | AttemptFailed;
