/**
 * All events that the gateway's reducer handles. Each carries `at`, the time in milliseconds on the monotonic clock of the
 * process; the reducer reads no other clock.
 */
import type { CrashUpdate } from './crashes/crash-update.js';
import type { Handover } from './model/answer-timing.js';
import type { GatewayConfiguration } from './model/route.js';
import type {
  PeerAnswer,
  PeerExchangeId,
  PeerRequest,
  PeerRequestId,
} from './model/peer-request.js';
import type { PeerProblem, Subquery, SubqueryId, SubqueryPart } from './model/subquery.js';
import type {
  AttemptId,
  AttemptResult,
  CallerRequest,
  CallId,
  Fingerprint,
  OpenExchange,
  UnreadableProblem,
} from './model/request.js';
import type { FollowerId, KnownPositions, ReaderUpdate } from './readers/reader-update.js';
import type { GatewaySettings } from './settings.js';
import type { CollectionName } from './store/collection.js';
import type { ShownConfiguration, StoreChanges, StorePage } from './store/store-objects.js';
import type { StoreEra } from './store/store-position.js';

/** The process has started and its ports are open. */
export interface Started {
  readonly type: 'started';
  readonly at: number;
}

/** The process was paused or its machine was suspended. Emitted when the process resumes. */
export interface ProcessPaused {
  readonly type: 'stood-still';
  readonly at: number;
  /** Length of the pause, in milliseconds. */
  readonly forMs: number;
  /** Part of the pause in which the machine was suspended, in milliseconds. */
  readonly suspendedMs: number;
}

/** The process was asked to stop; requests in progress are finished. */
export interface StopRequested {
  readonly type: 'stop-requested';
  readonly at: number;
  /** Time since the process received the signal, in milliseconds: one that arrives during the start is handled later. */
  readonly signalledMsAgo: number;
}

/** The settings were reloaded. */
export interface SettingsReloaded {
  readonly type: 'settings-reloaded';
  readonly at: number;
  readonly settings: GatewaySettings;
}

/** A caller's request has arrived completely. */
export interface RequestReceived {
  readonly type: 'request-received';
  readonly at: number;
  readonly call: CallId;
  readonly request: CallerRequest;
}

/** Bytes from a caller that cannot be parsed as a request were refused. */
export interface UnreadableRefused {
  readonly type: 'unreadable-refused';
  readonly at: number;
  readonly problem: UnreadableProblem;
  readonly status: number;
  /** Message of the parser. */
  readonly detail: string;
  /** Address of the caller. */
  readonly from: string;
}

/** A request followed an answer that closed its connection; it is neither run nor answered. */
export interface RequestIgnored {
  readonly type: 'request-ignored';
  readonly at: number;
  readonly requestId: string;
}

/** The caller closed its connection before the answer. */
export interface CallerLeft {
  readonly type: 'caller-left';
  readonly at: number;
  readonly call: CallId;
}

/** An answer was written to its caller's connection. */
export interface AnswerSent {
  readonly type: 'answer-sent';
  readonly at: number;
  readonly handover: Handover;
}

/** An attempt at a replica has ended. */
export interface AttemptEnded {
  readonly type: 'attempt-ended';
  readonly at: number;
  readonly attempt: AttemptId;
  readonly result: AttemptResult;
}

/** A check whether a replica accepts connections has ended. */
export interface ReplicaChecked {
  readonly type: 'replica-checked';
  readonly at: number;
  readonly replica: string;
  /** The replica's machine refused the connection, as nothing listens on the port; false if no answer arrived. */
  readonly isDown: boolean;
}

/** The next crash updates to other gateways are due. */
export interface CrashUpdatesDue {
  readonly type: 'crash-updates-due';
  readonly at: number;
}

/** Another gateway has sent updates about requests that have crashed replicas. */
export interface CrashUpdatesReceived {
  readonly type: 'crash-updates-received';
  readonly at: number;
  /** Name of the gateway that sent the updates. */
  readonly from: string;
  readonly news: readonly CrashUpdate[];
}

/** The timer of a request has expired. */
export interface RequestDue {
  readonly type: 'request-due';
  readonly at: number;
  readonly call: CallId;
}

/** One page of a collection's list was read. */
export interface PageRead {
  readonly type: 'page-read';
  readonly at: number;
  /** Era of the store that the answer names. */
  readonly era?: StoreEra;
  readonly page: StorePage;
}

/** A watch of a collection has returned. */
export interface ChangesRead {
  readonly type: 'changes-read';
  readonly at: number;
  /** Era of the store that the answer names. */
  readonly era?: StoreEra;
  readonly changes: StoreChanges;
}

/** A list or watch of a collection has failed. */
export interface StoreCallFailed {
  readonly type: 'store-call-failed';
  readonly at: number;
  readonly collection: CollectionName;
  /** `history-gone`: the store has discarded the changes since the watched revision. */
  readonly problem: 'history-gone' | 'throttled' | 'unavailable' | 'no-answer' | 'malformed';
  /** Message of the client or the parser. */
  readonly detail: string;
  /** Era of the store that the answer names; absent where there was none. */
  readonly era?: StoreEra;
}

/** A probe of the store has ended. */
export interface ProbeEnded {
  readonly type: 'probe-ended';
  readonly at: number;
  readonly answered: boolean;
  /** Era of the store that the answer names; absent where there was none. */
  readonly era?: StoreEra;
}

/** A confirming read of the store has ended. */
export interface ConfirmationEnded {
  readonly type: 'confirmation-ended';
  readonly at: number;
  /** When the read was sent, in milliseconds on the clock of the process. */
  readonly sentAt: number;
  readonly answered: boolean;
  /** Era of the store that the answer names; absent where there was none. */
  readonly era?: StoreEra;
  /** What the answer shows; absent if there was none or it cannot be read. */
  readonly shown?: ShownConfiguration;
}

/** Another gateway requests the parts of some shards from this one. */
export interface SubqueryReceived {
  readonly type: 'subquery-received';
  readonly at: number;
  readonly call: CallId;
  readonly requestId: string;
  readonly fingerprint: Fingerprint;
  readonly subquery: Subquery;
}

/** The coordinator has cancelled the rest of a subquery, or its connection is closed. */
export interface SubqueryCancelled {
  readonly type: 'subquery-cancelled';
  readonly at: number;
  readonly call: CallId;
  /** Time after which unfinished attempts are aborted, in milliseconds. */
  readonly withinMs: number;
}

/** A feeder has acknowledged a subquery. */
export interface SubqueryAcknowledged {
  readonly type: 'subquery-acknowledged';
  readonly at: number;
  readonly subquery: SubqueryId;
}

/** A feeder has sent parts. */
export interface SubqueryAnswered {
  readonly type: 'subquery-answered';
  readonly at: number;
  readonly subquery: SubqueryId;
  readonly part: SubqueryPart;
}

/** A subquery ended without all of its parts: the feeder refused it or is unreachable. */
export interface SubqueryFailed {
  readonly type: 'subquery-failed';
  readonly at: number;
  readonly subquery: SubqueryId;
  /** Whether replicas may have run it. */
  readonly mayHaveRun: boolean;
}

/** A suspected peer has answered a check promptly. */
export interface PeerAlive {
  readonly type: 'peer-alive';
  readonly at: number;
  readonly peer: string;
}

/** A peer is unreachable, silent or stopping. */
export interface PeerLost {
  readonly type: 'peer-lost';
  readonly at: number;
  readonly peer: string;
  readonly problem: PeerProblem;
}

/** The next probe of the store is due. */
export interface ProbeDue {
  readonly type: 'probe-due';
  readonly at: number;
}

/** Another gateway subscribes to this gateway's updates from the store. */
export interface FollowerJoined {
  readonly type: 'follower-joined';
  readonly at: number;
  readonly follower: FollowerId;
  /** Positions up to which the follower knows the collections. */
  readonly positions: KnownPositions;
  /** Configuration of the follower that is newer than the one sent by this gateway; usually absent. */
  readonly configuration?: GatewayConfiguration;
}

/** A follower has unsubscribed or its connection is closed. */
export interface FollowerLeft {
  readonly type: 'follower-left';
  readonly at: number;
  readonly follower: FollowerId;
}

/** A reader has sent an update. */
export interface ReaderUpdateReceived {
  readonly type: 'reader-update-received';
  readonly at: number;
  /** Name under which the reader is followed. */
  readonly reader: string;
  readonly news: ReaderUpdate;
}

/** The next choice of who reads the store, and the next status update to followers, are due. */
export interface ReadingDue {
  readonly type: 'reading-due';
  readonly at: number;
}

/** The next check whether the store holds this gateway's entry is due. */
export interface RegistrationDue {
  readonly type: 'registration-due';
  readonly at: number;
}

/** The next call for a collection is due. */
export interface CollectionDue {
  readonly type: 'collection-due';
  readonly at: number;
  readonly collection: CollectionName;
}

/** Another gateway has sent a request, which is answered with `answer-peer`. */
export interface PeerRequestReceived {
  readonly type: 'peer-request-received';
  readonly at: number;
  readonly exchange: PeerExchangeId;
  /** Name of the gateway that sent it. */
  readonly from: string;
  readonly request: PeerRequest;
}

/** Another gateway has answered a request of this one. */
export interface PeerRequestAnswered {
  readonly type: 'peer-request-answered';
  readonly at: number;
  readonly id: PeerRequestId;
  readonly peer: string;
  readonly answer: PeerAnswer;
}

/** The timer of the key confirmation has expired. */
export interface KeyConfirmationDue {
  readonly type: 'key-confirmation-due';
  readonly at: number;
}

/** The timer of the tenants' limits has expired. */
export interface QuotasDue {
  readonly type: 'quotas-due';
  readonly at: number;
}

/** The timer that checks the queues of waiting attempts has expired. */
export interface SchedulingDue {
  readonly type: 'scheduling-due';
  readonly at: number;
}

/** The next step of a stop is due. */
export interface StopDue {
  readonly type: 'stop-due';
  readonly at: number;
  /** Requests of callers that are being received, or whose answers have not been sent completely. */
  readonly openExchanges: number;
  /** The first of them, for the log. */
  readonly listedExchanges?: readonly OpenExchange[];
}

/** All events of the gateway. */
export type GatewayEvent =
  | Started
  | ProcessPaused
  | StopRequested
  | SettingsReloaded
  | RequestReceived
  | UnreadableRefused
  | RequestIgnored
  | CallerLeft
  | AnswerSent
  | AttemptEnded
  | ReplicaChecked
  | CrashUpdatesDue
  | CrashUpdatesReceived
  | RequestDue
  | PageRead
  | ChangesRead
  | StoreCallFailed
  | CollectionDue
  | ProbeEnded
  | ConfirmationEnded
  | ProbeDue
  | SubqueryReceived
  | SubqueryCancelled
  | SubqueryAcknowledged
  | SubqueryAnswered
  | SubqueryFailed
  | PeerLost
  | PeerAlive
  | FollowerJoined
  | FollowerLeft
  | ReaderUpdateReceived
  | ReadingDue
  | RegistrationDue
  | PeerRequestReceived
  | PeerRequestAnswered
  | KeyConfirmationDue
  | QuotasDue
  | SchedulingDue
  | StopDue;
