/** State about replicas: the queues of those that this node feeds, and results on their way back. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { LegAttempt, LegContext, LegResult } from '../../protocol/leg-messages.js';
import type { ConfigurationInForce } from '../configuration/state.js';
import type { AttemptId, NodeId, PartnerId, ReplicaId } from '../identifiers.js';
import type { LegClass, LegClassCache } from './leg-class.js';
import type { LegQueue } from './leg-queue.js';

/** The attempts that came in one message. */
export interface HeldBatch {
  /** All of them. */
  readonly size: number;
  /** Those that have not ended. */
  open: number;
  /** Whether the coordinator lets an answer wait for others. */
  readonly mayWait: boolean;
}

/** An answer that waits at the feeder for others to the same coordinator. */
export interface DelayedResult {
  readonly result: LegResult;
  readonly since: number;
}

/** An attempt that this node holds as feeder. */
export interface HeldAttempt {
  readonly coordinator: NodeId;
  readonly batch: HeldBatch;
  readonly context: LegContext;
  readonly leg: LegAttempt;
  readonly feed: ReplicaFeed;
  readonly class: LegClass;
  readonly deadlineAt: number;
  readonly arrivedAt: number;
  /** When it was sent to the replica; undefined while it is queued. */
  sentAt: number | undefined;
  /** It is in the queue of its replica. */
  isQueued: boolean;
  /** The coordinator wants no result any more. */
  isCancelled: boolean;
}

/** A back end fed by this node. */
export interface ReplicaFeed {
  readonly endpoint: string;
  status: ReplicaStatus;
  /** Attempts sent and not yet ended. */
  inFlight: number;
  /** Decayed mean of its working times, in milliseconds. */
  serviceMs: number;
  /** Since when attempts are there and it has said nothing; undefined when all is answered. */
  unansweredSince: number | undefined;
  /** Attempts that ended since then without a word of the replica. */
  unanswered: number;
  /** Whether a timer looks whether it has fallen silent. */
  silenceTimerSet: boolean;
  readonly queue: LegQueue;
}

/** Published replicas by partner, derived from one configuration in force. */
export interface ReplicaIndex {
  inForce: ConfigurationInForce | undefined;
  readonly statuses: Map<PartnerId, ReadonlyMap<ReplicaId, ReplicaStatus>>;
}

/** Observations and queues by replica. */
export interface ReplicaState {
  /** Attempts queued or in flight at this node as feeder. */
  attemptsInProgress: number;
  readonly held: Map<AttemptId, HeldAttempt>;
  /** By endpoint. */
  readonly feeds: Map<string, ReplicaFeed>;
  readonly index: ReplicaIndex;
  readonly classCache: LegClassCache;
  /** Results to be reported at the end of this step, by coordinator. */
  readonly results: Map<NodeId, LegResult[]>;
  /** Results that wait for others, by coordinator; `results-due` is set while there are any. */
  readonly delayedResults: Map<NodeId, DelayedResult[]>;
  /** Whether `results-due` is set. */
  resultTimerSet: boolean;
  /** Attempts not safe to repeat that were accepted, with the time when each may be forgotten. */
  readonly acceptedOnce: Map<AttemptId, number>;
}

/** Creates the state of a node that feeds no replica yet. */
export const createReplicaState = (): ReplicaState => ({
  attemptsInProgress: 0,
  held: new Map(),
  feeds: new Map(),
  index: { inForce: undefined, statuses: new Map() },
  classCache: { inForce: undefined, classes: new Map() },
  results: new Map(),
  delayedResults: new Map(),
  resultTimerSet: false,
  acceptedOnce: new Map(),
});
