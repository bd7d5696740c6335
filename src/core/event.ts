/**
 * All events the core handles. Each carries `at`, the time in milliseconds on the monotonic clock
 * of the node; the core reads no other clock.
 */
import type { Machine, StoreObject } from '../catalog/store-object.js';
import type { LegResult } from '../protocol/leg-messages.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { LinkMessage } from '../protocol/peer-message.js';
import type { EditRequest } from '../table/edit.js';
import type { CallId, NodeId, StoreRequestId } from './identifiers.js';
import type { QueryRequest } from './query/query-request.js';
import type { TimerKey } from './timer-key.js';

/** The process has started and its ports are open. */
export interface Started {
  readonly type: 'started';
  readonly at: number;
}

/** The operator or the platform has requested a stop; requests in progress are finished. */
export interface StopRequested {
  readonly type: 'stop-requested';
  readonly at: number;
}

/** A timer has expired. */
export interface TimerFired {
  readonly type: 'timer-fired';
  readonly at: number;
  readonly key: TimerKey;
}

/** A caller's request has arrived. */
export interface QueryArrived {
  readonly type: 'query-arrived';
  readonly at: number;
  readonly call: CallId;
  readonly query: QueryRequest;
}

/** A caller has disconnected before its answer. */
export interface CallerLeft {
  readonly type: 'caller-left';
  readonly at: number;
  readonly call: CallId;
}

/** Attempts that this node sent to replicas have ended; several may be reported together. */
export interface AttemptsEnded {
  readonly type: 'attempts-ended';
  readonly at: number;
  readonly results: readonly LegResult[];
}

/** A message has arrived over a link; the sender has been authenticated. */
export interface LinkMessageArrived {
  readonly type: 'link-message-arrived';
  readonly at: number;
  readonly from: NodeId;
  readonly message: LinkMessage;
}

/** The link to a peer is down; messages sent and not yet answered may be lost. */
export interface LinkLost {
  readonly type: 'link-lost';
  readonly at: number;
  readonly peer: NodeId;
}

/** A datagram has arrived; the sender has been authenticated. */
export interface DatagramArrived {
  readonly type: 'datagram-arrived';
  readonly at: number;
  readonly message: MembershipMessage;
}

/**
 * Objects were read from the store: all changed after revision `after` up to and including
 * `through`.
 */
export interface StoreChanged {
  readonly type: 'store-changed';
  readonly at: number;
  readonly after: number;
  readonly through: number;
  readonly objects: readonly StoreObject[];
}

/** A request to the store failed or timed out. */
export interface StoreFailed {
  readonly type: 'store-failed';
  readonly at: number;
  /** The kind of request; the watch when absent. */
  readonly request?: 'watch' | 'machines';
  readonly problem: string;
}

/** The platform's machine list was read. */
export interface MachinesRead {
  readonly type: 'machines-read';
  readonly at: number;
  readonly machines: readonly Machine[];
}

/** An operator's edit has arrived. */
export interface EditRequested {
  readonly type: 'edit-requested';
  readonly at: number;
  readonly call: CallId;
  readonly edit: EditRequest;
}

/** A read of an object was answered; `object` is absent when the store has none of that name. */
export interface ObjectRead {
  readonly type: 'object-read';
  readonly at: number;
  readonly request: StoreRequestId;
  readonly object?: StoreObject;
}

/** A compare-and-set was accepted. */
export interface ObjectWritten {
  readonly type: 'object-written';
  readonly at: number;
  readonly request: StoreRequestId;
  readonly version: number;
  readonly revision: number;
}

/** A compare-and-set was refused: the object has `version`, 0 when it does not exist. */
export interface ObjectWriteRefused {
  readonly type: 'object-write-refused';
  readonly at: number;
  readonly request: StoreRequestId;
  readonly version: number;
}

/**
 * A read or write of one object failed or timed out; a write may nevertheless have taken effect.
 */
export interface ObjectRequestFailed {
  readonly type: 'object-request-failed';
  readonly at: number;
  readonly request: StoreRequestId;
  readonly problem: string;
}

/** A client waits until all nodes hold `revision`; this node surveys those not known to hold it. */
export interface RevisionAwaited {
  readonly type: 'revision-awaited';
  readonly at: number;
  readonly revision: number;
}

/** All events of the core. */
export type Event =
  | Started
  | StopRequested
  | TimerFired
  | QueryArrived
  | CallerLeft
  | AttemptsEnded
  | LinkMessageArrived
  | LinkLost
  | DatagramArrived
  | StoreChanged
  | StoreFailed
  | MachinesRead
  | EditRequested
  | ObjectRead
  | ObjectWritten
  | ObjectWriteRefused
  | ObjectRequestFailed
  | RevisionAwaited;
