/** State of the feeder: queues of the replicas that this node feeds, and results not yet sent. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { LegAttempt, LegContext, LegResult } from '../../protocol/leg-messages.js';
import type { ConfigurationInForce } from '../configuration/state.js';
import type { AttemptId, NodeId, PartnerId, ReplicaId } from '../identifiers.js';
import type { LegClass, LegClassCache } from './leg-class.js';
import type { LegQueue } from './leg-queue.js';

/** The attempts of one message. */
export interface HeldBatch {
  /** Number of legs in the message. */
  readonly size: number;
  /** Number of accepted attempts that have not ended. */
  open: number;
  /** Whether the coordinator allows answers to be delayed and sent together. */
  readonly mayWait: boolean;
}

/** An answer that the feeder delays to send it with others to the same coordinator. */
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
  /** Whether it is in the queue of its replica. */
  isQueued: boolean;
  /** Whether the coordinator has cancelled it; its result is not reported. */
  isCancelled: boolean;
}

/** A back end that this node feeds. */
export interface ReplicaFeed {
  readonly endpoint: string;
  status: ReplicaStatus;
  /** Number of attempts sent that have not ended. */
  inFlight: number;
  /** Decayed mean of its service times, in milliseconds. */
  serviceMs: number;
  /** Time since which it has held attempts without a response; undefined if there are none. */
  unansweredSince: number | undefined;
  /** Number of late attempts that ended without a response since its last response. */
  unanswered: number;
  /** Whether the timer that checks for silence is set. */
  silenceTimerSet: boolean;
  readonly queue: LegQueue;
}

/** Cache of published replicas by partner, derived from one configuration in force. */
export interface ReplicaIndex {
  inForce: ConfigurationInForce | undefined;
  readonly statuses: Map<PartnerId, ReadonlyMap<ReplicaId, ReplicaStatus>>;
}

/** State of this node as feeder. */
export interface ReplicaState {
  /** Number of attempts queued or in flight at this node as feeder. */
  attemptsInProgress: number;
  readonly held: Map<AttemptId, HeldAttempt>;
  /** Fed back ends by endpoint. */
  readonly feeds: Map<string, ReplicaFeed>;
  readonly index: ReplicaIndex;
  readonly classCache: LegClassCache;
  /** Results to send at the end of this step, by coordinator. */
  readonly results: Map<NodeId, LegResult[]>;
  /** Delayed results by coordinator; the timer `results-due` is set while there are any. */
  readonly delayedResults: Map<NodeId, DelayedResult[]>;
  /** Whether the timer `results-due` is set. */
  resultTimerSet: boolean;
  /** Accepted attempts that are not safe to repeat, with the time after which each is removed. */
  readonly acceptedOnce: Map<AttemptId, number>;
}

/** Creates the state of a node that feeds no replica. */
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
