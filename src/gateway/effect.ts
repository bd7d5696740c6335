/** Every effect that the gateway's reducer asks of its driver. Effects are data. */
import type { CrashUpdate } from './crashes/crash-update.js';
import type { StateChange, TracedDecision, TraceReason } from './log/log-event.js';
import type { CallerLimits, GatewayConfiguration } from './model/route.js';
import type { PeerRecord } from './model/peer-record.js';
import type { Subquery, SubqueryId, SubqueryPart } from './model/subquery.js';
import type { ReplicaRecord } from './model/replica-record.js';
import type { AttemptId, CallerResponse, CallId } from './model/request.js';
import type { FollowerId, KnownPositions, ReaderUpdate } from './readers/reader-update.js';
import type { CollectionName, StoreCall } from './store/collection.js';

/** Sends a request to a replica; ends in `attempt-ended`, always, also when aborted. */
export interface SendAttempt {
  readonly type: 'send-attempt';
  readonly attempt: AttemptId;
  readonly call: CallId;
  readonly replica: ReplicaRecord;
  /** When the request's time is over; what is left when it is sent is told to the replica. */
  readonly deadlineAt: number;
  /** Connections that this gateway may hold to the replica. */
  readonly maxConnections: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
}

/** Opens a connection to a replica ahead of its first attempt. */
export interface OpenConnection {
  readonly type: 'open-connection';
  readonly replica: ReplicaRecord;
}

/** Looks whether a replica takes connections; ends in `replica-checked`. One that opens is kept for use. */
export interface CheckReplica {
  readonly type: 'check-replica';
  readonly replica: ReplicaRecord;
}

/**
 * Keeps a connection to a replica until then, and looks at the replica when one breaks; ends in `replica-checked` each
 * time, and once at first where there is none.
 */
export interface WatchReplica {
  readonly type: 'watch-replica';
  readonly replica: ReplicaRecord;
  readonly untilAt: number;
}

/** Tells other gateways of requests under which replicas have ended. */
export interface TellCrashes {
  readonly type: 'tell-crashes';
  readonly peers: readonly PeerRecord[];
  readonly news: readonly CrashUpdate[];
}

/** Sets the timer after which other gateways are told of them. */
export interface SetCrashNewsTimer {
  readonly type: 'set-crash-news-timer';
  readonly at: number;
}

/** Gives up an attempt: its connection is closed unless the answer comes within `withinMs`. */
export interface AbortAttempt {
  readonly type: 'abort-attempt';
  readonly attempt: AttemptId;
  readonly withinMs: number;
}

/** Closes the connections to a replica that is gone, once they are idle. */
export interface CloseReplica {
  readonly type: 'close-replica';
  readonly replica: string;
}

/** Answers a caller; the call is over. */
export interface AnswerCaller {
  readonly type: 'answer-caller';
  readonly call: CallId;
  readonly response: CallerResponse;
  /** The caller's connection is closed after the answer. */
  readonly closeConnection: boolean;
}

/** Asks a feeder for the parts of some shards; ends in a final `subquery-answered` or in `subquery-failed`. */
export interface SendSubquery {
  readonly type: 'send-subquery';
  readonly id: SubqueryId;
  readonly call: CallId;
  readonly peer: PeerRecord;
  readonly subquery: Subquery;
}

/** Tells a feeder that the rest of a subquery is no longer wanted. */
export interface CancelSubquery {
  readonly type: 'cancel-subquery';
  readonly id: SubqueryId;
  readonly withinMs: number;
}

/** Tells the gateway that asked that a subquery is at work. */
export interface AcknowledgeSubquery {
  readonly type: 'acknowledge-subquery';
  readonly call: CallId;
}

/** Sends parts to the gateway that asked; the call is over after the final ones. */
export interface AnswerSubquery {
  readonly type: 'answer-subquery';
  readonly call: CallId;
  readonly part: SubqueryPart;
}

/** Refuses a subquery that has not run. */
export interface RefuseSubquery {
  readonly type: 'refuse-subquery';
  readonly call: CallId;
}

/** Opens a connection to a peer ahead of the first subquery. */
export interface OpenPeer {
  readonly type: 'open-peer';
  readonly peer: PeerRecord;
}

/** Asks a peer again and again whether it lives; ends in `peer-alive`. */
export interface CheckPeer {
  readonly type: 'check-peer';
  readonly peer: PeerRecord;
}

/** Tells all peers that this gateway is about to end. */
export interface AnnounceStop {
  readonly type: 'announce-stop';
}

/** The call is over without an answer: its caller has left. */
export interface ForgetCall {
  readonly type: 'forget-call';
  readonly call: CallId;
}

/** Sets the one timer of a request, in place of any before. */
export interface SetRequestTimer {
  readonly type: 'set-request-timer';
  readonly call: CallId;
  readonly at: number;
}

/** Calls the store; ends in `page-read`, `changes-read` or `store-call-failed`. */
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

/** Gives up the call by which a collection is followed. */
export interface DropStoreCall {
  readonly type: 'drop-store-call';
  readonly collection: CollectionName;
}

/** Sets the timer after which this gateway looks whether its entry stands in the store. */
export interface SetRegistrationTimer {
  readonly type: 'set-registration-timer';
  readonly at: number;
}

/** Sets the timer of the next look at who reads the store. */
export interface SetReadingTimer {
  readonly type: 'set-reading-timer';
  readonly at: number;
}

/** Asks a reader to tell what it reads from the store; `reader-told` follows again and again. */
export interface FollowReader {
  readonly type: 'follow-reader';
  readonly peer: PeerRecord;
  readonly positions: KnownPositions;
  /** Told to a reader that has an older one, after a return of the store; absent mostly. */
  readonly configuration?: GatewayConfiguration;
}

/** Tells a reader that nothing is wanted any more. */
export interface UnfollowReader {
  readonly type: 'unfollow-reader';
  readonly reader: string;
}

/** Tells followers what was read from the store. */
export interface TellFollowers {
  readonly type: 'tell-followers';
  readonly followers: readonly FollowerId[];
  readonly news: ReaderUpdate;
}

/** Sets the timer of the stop. */
export interface SetStopTimer {
  readonly type: 'set-stop-timer';
  readonly at: number;
}

/** Says whether this gateway wants new connections of callers. */
export interface SetReadiness {
  readonly type: 'set-readiness';
  readonly ready: boolean;
}

/** Puts bounds on what callers send. */
export interface ApplyLimits {
  readonly type: 'apply-limits';
  readonly limits: CallerLimits;
}

/** Takes no further connection of callers. */
export interface CloseCallerPort {
  readonly type: 'close-caller-port';
}

/** All work is done after a stop was asked for: the process may end. */
export interface EndProcess {
  readonly type: 'end-process';
}

/** Parts of the gateway that log; each has a fixed prefix. */
export type GatewayLogPart =
  'request' | 'caller' | 'replica' | 'peer' | 'configuration' | 'store' | 'lifecycle';

/** Writes a line of the log. */
export interface WriteLog {
  readonly type: 'write-log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly part: GatewayLogPart;
  readonly change: StateChange;
}

/** Writes a line for each decision about a request that has ended. */
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
  | OpenConnection
  | CheckReplica
  | WatchReplica
  | TellCrashes
  | SetCrashNewsTimer
  | CloseReplica
  | AnswerCaller
  | ForgetCall
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
  | DropStoreCall
  | SetRegistrationTimer
  | SetReadingTimer
  | FollowReader
  | UnfollowReader
  | TellFollowers
  | SetStopTimer
  | SetReadiness
  | ApplyLimits
  | CloseCallerPort
  | EndProcess
  | WriteLog
  | WriteTrace;
