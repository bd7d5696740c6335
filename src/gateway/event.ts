/**
 * Every event that the gateway's reducer takes. Each carries `at`, the time in milliseconds on the
 * monotonic clock of the process; the reducer reads no other clock.
 */
import type { CrashUpdate } from './crashes/crash-update.js';
import type { GatewayConfiguration } from './model/route.js';
import type { PeerProblem, Subquery, SubqueryId, SubqueryPart } from './model/subquery.js';
import type {
  AttemptId,
  AttemptResult,
  CallerRequest,
  CallId,
  Fingerprint,
  UnreadableProblem,
} from './model/request.js';
import type { FollowerId, KnownPositions, ReaderUpdate } from './readers/reader-update.js';
import type { GatewaySettings } from './settings.js';
import type { CollectionName } from './store/collection.js';
import type { StoreChanges, StorePage } from './store/store-objects.js';
import type { StoreEra } from './store/store-position.js';

/** The process has started and its ports are open. */
export interface Started {
  readonly type: 'started';
  readonly at: number;
}

/** The process did nothing for a while: it was stopped, or its machine suspended. Emitted when it goes on. */
export interface ProcessPaused {
  readonly type: 'stood-still';
  readonly at: number;
  /** In milliseconds. */
  readonly forMs: number;
  /** How much of it the machine was suspended. */
  readonly suspendedMs: number;
}

/** The process is told to stop; requests in progress are finished. */
export interface StopRequested {
  readonly type: 'stop-requested';
  readonly at: number;
}

/** The settings were read again. */
export interface SettingsReloaded {
  readonly type: 'settings-reloaded';
  readonly at: number;
  readonly settings: GatewaySettings;
}

/** A request of a caller has arrived whole. */
export interface RequestReceived {
  readonly type: 'request-received';
  readonly at: number;
  readonly call: CallId;
  readonly request: CallerRequest;
}

/** Something that is no request has come from a caller, and was refused. */
export interface UnreadableRefused {
  readonly type: 'unreadable-refused';
  readonly at: number;
  readonly problem: UnreadableProblem;
  readonly status: number;
  /** What the parser said. */
  readonly detail: string;
  /** Address of the caller. */
  readonly from: string;
}

/** The caller has closed its connection before the answer. */
export interface CallerLeft {
  readonly type: 'caller-left';
  readonly at: number;
  readonly call: CallId;
}

/** An attempt at a replica has ended. */
export interface AttemptEnded {
  readonly type: 'attempt-ended';
  readonly at: number;
  readonly attempt: AttemptId;
  readonly result: AttemptResult;
}

/** It was looked whether a replica takes connections. */
export interface ReplicaChecked {
  readonly type: 'replica-checked';
  readonly at: number;
  readonly replica: string;
  /** Its machine answers that nothing listens there; false also where no answer came. */
  readonly isDown: boolean;
}

/** It is time to tell other gateways of requests under which replicas have ended. */
export interface CrashNewsDue {
  readonly type: 'crash-news-due';
  readonly at: number;
}

/** Another gateway has told of requests under which replicas have ended. */
export interface CrashesTold {
  readonly type: 'crashes-told';
  readonly at: number;
  /** Name of the gateway that told it. */
  readonly from: string;
  readonly news: readonly CrashUpdate[];
}

/** A timer of a request has run out. */
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

/** A call for a collection failed. */
export interface StoreCallFailed {
  readonly type: 'store-call-failed';
  readonly at: number;
  readonly collection: CollectionName;
  /** `history-gone`: the store no longer knows the changes since the watched revision. */
  readonly problem: 'history-gone' | 'throttled' | 'unavailable' | 'no-answer' | 'malformed';
  /** What the client or the parser said. */
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

/** Another gateway asks this one for the parts of some shards. */
export interface SubqueryReceived {
  readonly type: 'subquery-received';
  readonly at: number;
  readonly call: CallId;
  readonly requestId: string;
  readonly fingerprint: Fingerprint;
  readonly subquery: Subquery;
}

/** The gateway that asked no longer wants the rest, or is gone. */
export interface SubqueryCancelled {
  readonly type: 'subquery-cancelled';
  readonly at: number;
  readonly call: CallId;
  /** Time that attempts have to end by themselves, in milliseconds. */
  readonly withinMs: number;
}

/** A feeder has taken a subquery. */
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

/** A subquery ended without all of its parts: the feeder refused it, or cannot be reached. */
export interface SubqueryFailed {
  readonly type: 'subquery-failed';
  readonly at: number;
  readonly subquery: SubqueryId;
  /** Whether replicas may have run it. */
  readonly mayHaveRun: boolean;
}

/** A peer that was passed over has answered promptly. */
export interface PeerAlive {
  readonly type: 'peer-alive';
  readonly at: number;
  readonly peer: string;
}

/** A peer cannot be reached, says nothing any more, or is about to end. */
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

/** Another gateway wants to be told what this one reads from the store. */
export interface FollowerJoined {
  readonly type: 'follower-joined';
  readonly at: number;
  readonly follower: FollowerId;
  /** Up to where it knows the collections. */
  readonly positions: KnownPositions;
  /** A newer configuration than this gateway has told; absent mostly. */
  readonly configuration?: GatewayConfiguration;
}

/** A follower no longer wants to be told, or is gone. */
export interface FollowerLeft {
  readonly type: 'follower-left';
  readonly at: number;
  readonly follower: FollowerId;
}

/** A reader has told something. */
export interface ReaderTold {
  readonly type: 'reader-told';
  readonly at: number;
  /** Name of the reader, as it was followed. */
  readonly reader: string;
  readonly news: ReaderUpdate;
}

/** It is time to look who reads the store, and to tell followers that this gateway lives. */
export interface ReadingDue {
  readonly type: 'reading-due';
  readonly at: number;
}

/** It is time to look whether this gateway's entry stands in the store. */
export interface RegistrationDue {
  readonly type: 'registration-due';
  readonly at: number;
}

/** A collection's pause between calls is over. */
export interface CollectionDue {
  readonly type: 'collection-due';
  readonly at: number;
  readonly collection: CollectionName;
}

/** The next step of a stop is due. */
export interface StopDue {
  readonly type: 'stop-due';
  readonly at: number;
}

/** All events of the gateway. */
export type GatewayEvent =
  | Started
  | ProcessPaused
  | StopRequested
  | SettingsReloaded
  | RequestReceived
  | UnreadableRefused
  | CallerLeft
  | AttemptEnded
  | ReplicaChecked
  | CrashNewsDue
  | CrashesTold
  | RequestDue
  | PageRead
  | ChangesRead
  | StoreCallFailed
  | CollectionDue
  | ProbeEnded
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
  | ReaderTold
  | ReadingDue
  | RegistrationDue
  | StopDue;
