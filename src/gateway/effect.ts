/** All effects that the gateway's reducer requests from its driver. Effects are plain data. */
import type { CrashUpdate } from './crashes/crash-update.js';
import type { StateChange, TracedDecision, TraceReason } from './log/log-event.js';
import type { Handover } from './model/answer-timing.js';
import type { CallerLimits, GatewayConfiguration } from './model/route.js';
import type { PeerRecord } from './model/peer-record.js';
import type { Subquery, SubqueryId, SubqueryPart } from './model/subquery.js';
import type {
  PeerAnswer,
  PeerExchangeId,
  PeerRequest,
  PeerRequestId,
} from './model/peer-request.js';
import type { ReplicaRecord } from './model/replica-record.js';
import type { AttemptId, CallerResponse, CallId, Refusal } from './model/request.js';
import type { FollowerId, KnownPositions, ReaderUpdate } from './readers/reader-update.js';
import type { ClassRank } from './scheduling/class-rank.js';
import type { CollectionName, StoreCall } from './store/collection.js';

/** Sends a request to a replica; always results in `attempt-ended`, also if it is aborted. */
export interface SendAttempt {
  readonly type: 'send-attempt';
  readonly attempt: AttemptId;
  readonly call: CallId;
  readonly replica: ReplicaRecord;
  /** Deadline of the request; the replica is sent the time that remains. */
  readonly deadlineAt: number;
  /** Maximum number of connections that this gateway may hold to the replica. */
  readonly maxConnections: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Class of the request. */
  readonly rank: ClassRank;
}

/**
 * Replaces the headers that identify the caller of a request before it is sent: the API key is removed, and replicas are
 * given the name of the tenant instead.
 */
export interface SetCaller {
  readonly type: 'set-caller';
  readonly call: CallId;
  /** Absent for an anonymous request. */
  readonly tenant?: string;
}

/** Sends a request to another gateway; an answer results in `peer-request-answered`. */
export interface SendPeerRequest {
  readonly type: 'send-peer-request';
  readonly id: PeerRequestId;
  readonly peer: PeerRecord;
  readonly request: PeerRequest;
}

/** Answers a request of another gateway. */
export interface AnswerPeer {
  readonly type: 'answer-peer';
  readonly exchange: PeerExchangeId;
  readonly answer: PeerAnswer;
}

/** Sets the timer of the key confirmation. */
export interface SetKeyConfirmationTimer {
  readonly type: 'set-key-confirmation-timer';
  readonly at: number;
}

/** Sets the timer of the tenants' limits. */
export interface SetQuotasTimer {
  readonly type: 'set-quotas-timer';
  readonly at: number;
}

/** Sets the timer that checks the queues of waiting attempts. */
export interface SetSchedulingTimer {
  readonly type: 'set-scheduling-timer';
  readonly at: number;
}

/** Opens a connection to a replica before its first attempt. */
export interface OpenConnection {
  readonly type: 'open-connection';
  readonly replica: ReplicaRecord;
}

/** Checks whether a replica accepts connections; results in `replica-checked`. A connection that opens is kept for use. */
export interface CheckReplica {
  readonly type: 'check-replica';
  readonly replica: ReplicaRecord;
}

/**
 * Keeps a connection to a replica until `untilAt` and checks the replica whenever a connection to it breaks. Each check
 * results in `replica-checked`; if no connection exists at the beginning, the replica is checked then as well.
 */
export interface WatchReplica {
  readonly type: 'watch-replica';
  readonly replica: ReplicaRecord;
  readonly untilAt: number;
}

/** Sends updates about requests that have crashed replicas to other gateways. */
export interface SendCrashUpdates {
  readonly type: 'send-crash-updates';
  readonly peers: readonly PeerRecord[];
  readonly news: readonly CrashUpdate[];
}

/** Sets the timer of the next crash updates to other gateways. */
export interface SetCrashUpdateTimer {
  readonly type: 'set-crash-update-timer';
  readonly at: number;
}

/** Aborts an attempt: its connection is closed unless the answer arrives within `withinMs`. */
export interface AbortAttempt {
  readonly type: 'abort-attempt';
  readonly attempt: AttemptId;
  readonly withinMs: number;
}

/** Cancels an attempt that still waits for a connection; has no effect on an attempt that has been sent. */
export interface RecallAttempt {
  readonly type: 'recall-attempt';
  readonly attempt: AttemptId;
}

/** Closes the connections to a replica that is gone, as soon as they are idle. */
export interface CloseReplica {
  readonly type: 'close-replica';
  readonly replica: string;
}

/** Answers a caller and ends the call. */
export interface AnswerCaller {
  readonly type: 'answer-caller';
  readonly call: CallId;
  readonly response: CallerResponse;
  /** The caller's connection is closed after the answer. */
  readonly closeConnection: boolean;
  /** Present if the handover is measured; results in `answer-sent`. */
  readonly handover?: Handover;
}

/**
 * Requests the parts of some shards from a feeder; results in a final `subquery-answered` or in `subquery-failed`.
 */
export interface SendSubquery {
  readonly type: 'send-subquery';
  readonly id: SubqueryId;
  readonly call: CallId;
  readonly peer: PeerRecord;
  readonly subquery: Subquery;
}

/** Cancels the rest of a subquery at its feeder. */
export interface CancelSubquery {
  readonly type: 'cancel-subquery';
  readonly id: SubqueryId;
  readonly withinMs: number;
}

/** Acknowledges a received subquery to the coordinator. */
export interface AcknowledgeSubquery {
  readonly type: 'acknowledge-subquery';
  readonly call: CallId;
}

/** Sends parts to the coordinator; the final ones end the call. */
export interface AnswerSubquery {
  readonly type: 'answer-subquery';
  readonly call: CallId;
  readonly part: SubqueryPart;
}

/** Refuses a received subquery that has not run. */
export interface RefuseSubquery {
  readonly type: 'refuse-subquery';
  readonly call: CallId;
}

/** Opens a connection to a peer before the first subquery. */
export interface OpenPeer {
  readonly type: 'open-peer';
  readonly peer: PeerRecord;
}

/** Sends pings to a peer until enough consecutive ones are answered promptly; results in `peer-alive`. */
export interface CheckPeer {
  readonly type: 'check-peer';
  readonly peer: PeerRecord;
}

/** Refuses the requests of callers that have not been received completely; their connections are closed. */
export interface RefuseIncomplete {
  readonly type: 'refuse-incomplete';
  readonly refusal: Refusal;
}

/** Announces to all peers that this gateway is stopping. */
export interface AnnounceStop {
  readonly type: 'announce-stop';
}

/** Discards a call without an answer: its caller has disconnected, or its coordinator has cancelled it. */
export interface DiscardCall {
  readonly type: 'discard-call';
  readonly call: CallId;
}

/** Sets the single timer of a request, replacing an earlier one. */
export interface SetRequestTimer {
  readonly type: 'set-request-timer';
  readonly call: CallId;
  readonly at: number;
}

/** Calls the store; results in `page-read`, `changes-read`, `store-call-failed`, `probe-ended` or `confirmation-ended`. */
export interface CallStore {
  readonly type: 'call-store';
  readonly call: StoreCall;
}

/** Sets the timer of a collection. */
export interface SetCollectionTimer {
  readonly type: 'set-collection-timer';
  readonly collection: CollectionName;
  readonly at: number;
}

/** Sets the timer of the next probe of the store. */
export interface SetProbeTimer {
  readonly type: 'set-probe-timer';
  readonly at: number;
}

/** Aborts the pending list or watch of a collection. */
export interface AbortStoreCall {
  readonly type: 'abort-store-call';
  readonly collection: CollectionName;
}

/** Sets the timer of the next check whether the store holds this gateway's entry. */
export interface SetRegistrationTimer {
  readonly type: 'set-registration-timer';
  readonly at: number;
}

/** Sets the timer of the next choice of who reads the store. */
export interface SetReadingTimer {
  readonly type: 'set-reading-timer';
  readonly at: number;
}

/** Subscribes to a reader's updates from the store; each update results in `reader-update-received`. */
export interface FollowReader {
  readonly type: 'follow-reader';
  readonly peer: PeerRecord;
  readonly positions: KnownPositions;
  /** Sent to a reader that has an older configuration, after the store was restored from a backup; usually absent. */
  readonly configuration?: GatewayConfiguration;
}

/** Ends the subscription to a reader's updates. */
export interface UnfollowReader {
  readonly type: 'unfollow-reader';
  readonly reader: string;
}

/** Sends followers an update of what was read from the store. */
export interface SendReaderUpdate {
  readonly type: 'send-reader-update';
  readonly followers: readonly FollowerId[];
  readonly news: ReaderUpdate;
}

/** Sets the timer of the next step of a stop. */
export interface SetStopTimer {
  readonly type: 'set-stop-timer';
  readonly at: number;
}

/** Sets whether the readiness port reports this gateway as ready for new connections of callers. */
export interface SetReadiness {
  readonly type: 'set-readiness';
  readonly ready: boolean;
  /** Whether this one reports to other gateways that it serves them; absent if it is the same as `ready`. */
  readonly servesPeers?: boolean;
}

/** Applies limits on what callers send. */
export interface ApplyLimits {
  readonly type: 'apply-limits';
  readonly limits: CallerLimits;
}

/** Stops accepting connections of callers. */
export interface CloseCallerPort {
  readonly type: 'close-caller-port';
}

/** Ends the process after a stop. */
export interface EndProcess {
  readonly type: 'end-process';
}

/** Parts of the gateway that write logs; each has a fixed prefix. */
export type GatewayLogPart =
  'request' | 'caller' | 'replica' | 'peer' | 'configuration' | 'store' | 'lifecycle';

/** Writes a log line. */
export interface WriteLog {
  readonly type: 'write-log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly part: GatewayLogPart;
  readonly change: StateChange;
}

/** Writes a log line for each decision about a request that has ended. */
export interface WriteTrace {
  readonly type: 'write-trace';
  readonly requestId: string;
  readonly reason: TraceReason;
  readonly decisions: readonly TracedDecision[];
}

/** All effects of the gateway. */
export type GatewayEffect =
  | SendAttempt
  | AbortAttempt
  | RecallAttempt
  | OpenConnection
  | CheckReplica
  | WatchReplica
  | SendCrashUpdates
  | SetCrashUpdateTimer
  | CloseReplica
  | AnswerCaller
  | DiscardCall
  | SendSubquery
  | CancelSubquery
  | AcknowledgeSubquery
  | AnswerSubquery
  | RefuseSubquery
  | OpenPeer
  | CheckPeer
  | AnnounceStop
  | SetRequestTimer
  | CallStore
  | SetCollectionTimer
  | SetProbeTimer
  | AbortStoreCall
  | SetRegistrationTimer
  | SetReadingTimer
  | FollowReader
  | UnfollowReader
  | SendReaderUpdate
  | SetStopTimer
  | SetCaller
  | SendPeerRequest
  | AnswerPeer
  | SetKeyConfirmationTimer
  | SetQuotasTimer
  | SetSchedulingTimer
  | SetReadiness
  | ApplyLimits
  | CloseCallerPort
  | RefuseIncomplete
  | EndProcess
  | WriteLog
  | WriteTrace;
