/** All effects the core can request from its driver. Effects are data; the driver executes them. */
import type { ReplicaStatus } from '../catalog/partner-index.js';
import type { LegAttempt, LegContext } from '../protocol/leg-messages.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { PeerAddress } from '../protocol/node-address.js';
import type { LinkMessage } from '../protocol/peer-message.js';
import type { EditOutcome } from '../table/edit.js';
import type { StoreContent } from '../catalog/store-object.js';
import type { AttemptId, CallId, NodeId, ObjectName, StoreRequestId } from './identifiers.js';
import type { QueryOutcome } from './query/query-request.js';
import type { TimerKey } from './timer-key.js';

/** Answers a caller. */
export interface AnswerCaller {
  readonly type: 'answer-caller';
  readonly call: CallId;
  readonly outcome: QueryOutcome;
}

/** Sends an attempt to a replica; always ends in `attempts-ended`, even when cancelled. */
export interface SendAttempt {
  readonly type: 'send-attempt';
  readonly context: LegContext;
  readonly leg: LegAttempt;
  readonly replica: ReplicaStatus;
  /** Time left, in milliseconds; the driver then ends the attempt with `timed-out`. */
  readonly remainingMs: number;
  /** Maximum number of connections of this node to the replica. */
  readonly connections: number;
}

/** Cancels an attempt at the replica because its result is no longer needed. */
export interface CancelAttempt {
  readonly type: 'cancel-attempt';
  readonly attempt: AttemptId;
}

/**
 * Closes the connections to a replica that is gone or to which this node sends no more attempts.
 */
export interface CloseReplica {
  readonly type: 'close-replica';
  readonly host: string;
  readonly port: number;
}

/** Sends a message over the link to a peer; may result in `link-lost`. */
export interface SendLink {
  readonly type: 'send-link';
  readonly to: NodeId;
  readonly address: PeerAddress;
  readonly message: LinkMessage;
}

/** Sends a datagram, which may be lost. */
export interface SendDatagram {
  readonly type: 'send-datagram';
  readonly to: PeerAddress;
  readonly message: MembershipMessage;
}

/**
 * Sets a timer that fires at `at` on the node's monotonic clock; replaces one with the same key.
 */
export interface SetTimer {
  readonly type: 'set-timer';
  readonly key: TimerKey;
  readonly at: number;
}

/** Cancels a timer; has no effect if it is not set. */
export interface CancelTimer {
  readonly type: 'cancel-timer';
  readonly key: TimerKey;
}

/** Watches the store for changes after revision `after`; replaces an earlier watch. */
export interface WatchStore {
  readonly type: 'watch-store';
  readonly after: number;
}

/** Stops the watch of the store. */
export interface UnwatchStore {
  readonly type: 'unwatch-store';
}

/** Reads the platform's machine list once; ends in `machines-read` or `store-failed`. */
export interface ReadMachines {
  readonly type: 'read-machines';
}

/** Reads one object from the store; ends in `object-read` or `object-request-failed`. */
export interface ReadObject {
  readonly type: 'read-object';
  readonly request: StoreRequestId;
  readonly name: ObjectName;
}

/**
 * Writes one object by compare-and-set; ends in `object-written`, `-write-refused` or
 * `-request-failed`.
 */
export interface WriteObject {
  readonly type: 'write-object';
  readonly request: StoreRequestId;
  readonly name: ObjectName;
  /** The version that the object must have; 0 to create it. */
  readonly expectedVersion: number;
  readonly content: StoreContent;
}

/** Answers an operator's edit. */
export interface AnswerOperator {
  readonly type: 'answer-operator';
  readonly call: CallId;
  readonly outcome: EditOutcome;
}

/** Parts of the core that write logs; each has a fixed prefix. */
export type LogPart =
  | 'query'
  | 'replica'
  | 'admission'
  | 'keepers'
  | 'once'
  | 'membership'
  | 'configuration'
  | 'editing'
  | 'lifecycle';

/** Writes a log line that consists of one short sentence. */
export interface WriteLog {
  readonly type: 'write-log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly part: LogPart;
  readonly sentence: string;
}

/** Ends the process, after a requested stop when all work is finished. */
export interface EndProcess {
  readonly type: 'end-process';
}

/** All effects of the core. */
export type Effect =
  | AnswerCaller
  | SendAttempt
  | CancelAttempt
  | CloseReplica
  | SendLink
  | SendDatagram
  | SetTimer
  | CancelTimer
  | WatchStore
  | UnwatchStore
  | ReadMachines
  | ReadObject
  | WriteObject
  | AnswerOperator
  | WriteLog
  | EndProcess;
