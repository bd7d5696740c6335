/** State of requests in progress. A request has a single leg, or one for each shard of a gather. */
import type { AttemptReason, TracedDecision } from '../log/log-event.js';
import type { AnswerInputs } from '../model/answer-timing.js';
import type { Route } from '../model/route.js';
import type {
  AttemptId,
  CallerRequest,
  CallId,
  Fingerprint,
  ReplicaAnswer,
} from '../model/request.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import type { SubqueryId } from '../model/subquery.js';

/** The part of a request that one service answers. */
export interface Leg {
  readonly service: string;
  /** Identifiers of the replicas to which this leg was sent; cleared after a pause. */
  readonly attemptedReplicas: Set<string>;
  /** This gateway has sent an attempt. Unlike `attemptedReplicas`, it is not reset after a pause. */
  wasSent: boolean;
  /** Replicas may have run it before, for another feeder that failed. */
  isRepeat: boolean;
  /** This gateway has counted it as a request for the retry budget. */
  isCounted: boolean;
  /** The replica chosen outside those shared by all feeders; undefined while there is none. */
  unsharedReplica: string | undefined;
  /** Running attempts. */
  readonly running: Set<AttemptId>;
  /** Number of attempts that reached a replica or may have. */
  arrivals: number;
  /** Number of attempts that a replica ran or may have run. */
  runs: number;
  /** How the leg ended; undefined while it is open. */
  outcome: LegOutcome | undefined;
  /** The last failure answered by a replica; passed on if no usable answer arrives. */
  failure: ReplicaAnswer | undefined;
  /** The last refusal came from a full replica. */
  refusedAsFull: boolean;
  /** An attempt ended without showing whether the request ran, so a refusal must not state that it has not. */
  mayHaveRun: boolean;
  /** Number of pauses so far, each after all replicas refused or could not be reached. */
  pauses: number;
  /** When the current pause ends and all replicas may be used again; undefined while the leg is not paused. */
  resumeAt: number | undefined;
  /** The open subquery that requests the part from a feeder; undefined while there is none. */
  subquery: SubqueryId | undefined;
  /** The attempt that waits for room at the replicas; undefined while none does. */
  waiting: WaitingAttempt | undefined;
  /** It ended because it could not be answered before its deadline; no other feeder should try. */
  isDropped: boolean;
  /** The outcome was reported to the coordinator. */
  isReported: boolean;
  /** The leg waits until the guard of its request allows it to be sent. */
  isHeld: boolean;
}

/**
 * An attempt that waits at this feeder for room at the replicas of its shard. Times are on the gateway's clock, in
 * milliseconds.
 */
export interface WaitingAttempt {
  readonly request: ActiveRequest;
  readonly leg: Leg;
  readonly reason: AttemptReason;
  readonly since: number;
  /** Usual duration of such an attempt, in milliseconds. */
  readonly usualMs: number;
  readonly deadlineAt: number;
  isQueued: boolean;
}

/** How a leg ended. `fed`: a feeder sent the part, and its records are in `fedRecords` of the request. */
export type LegOutcome =
  | { readonly type: 'answered'; readonly answer: ReplicaAnswer }
  | { readonly type: 'fed'; readonly signature: string }
  | { readonly type: 'unanswered' };

/** A subquery without a final answer. */
export interface ActiveSubquery {
  readonly id: SubqueryId;
  readonly peer: string;
  /** Legs for which it was sent; a leg whose `subquery` differs has been moved since. */
  readonly legs: readonly Leg[];
  /** Replicas may have run these legs before, for another feeder. */
  readonly isRepeat: boolean;
  readonly sentAt: number;
  /** When the feeder's acknowledgement is due; undefined once it has responded. */
  acknowledgeBy: number | undefined;
  /** A check has already found it overdue; the messages that had arrived by then have been read since. */
  isOverdue: boolean;
  /** It was sent while the request may have crashed replicas, and shows whether it does. */
  readonly isProbe: boolean;
}

/** Who receives the answer: a caller, or the coordinator of a gather that requested some shards. */
export type RequestOrigin = 'caller' | 'coordinator';

/** A request in progress. */
export interface ActiveRequest {
  readonly call: CallId;
  readonly origin: RequestOrigin;
  readonly request: CallerRequest;
  readonly route: Route;
  /** Class of the request. */
  readonly rank: ClassRank;
  /** Name of the caller's tenant; undefined if it has none, and at feeders. */
  readonly tenant: string | undefined;
  /** The headers that identify the caller are not passed on as received, so that a feeder cannot compute the fingerprint. */
  readonly isCallerReplaced: boolean;
  readonly legs: readonly Leg[];
  readonly receivedAt: number;
  /** When the final answer is due, complete or not: at `ownDeadlineAt`, or before the process ends. */
  deadlineAt: number;
  /** When the final answer is due without regard to a stop. */
  readonly ownDeadlineAt: number;
  /** When an answer must be sent to meet the objective. */
  readonly objectiveAt: number;
  /** When legs without an answer are hedged. */
  hedgeAt: number;
  hedged: boolean;
  answeredLegs: number;
  openLegs: number;
  /** When the request's timer is due; undefined before it is first set. */
  timerAt: number | undefined;
  readonly subqueries: Map<SubqueryId, ActiveSubquery>;
  /** Number of subqueries to which a feeder has responded. */
  acknowledgedSubqueries: number;
  /** Feeders that failed this request or did not send all its shards to replicas. */
  readonly failedFeeders: Set<string>;
  /** When this feeder acknowledges the subquery; undefined once it has, and for requests of callers. */
  acknowledgeAt: number | undefined;
  /** Records of the parts received from feeders. */
  readonly fedRecords: Uint8Array[];
  /** Inputs of the decision to answer the gather; undefined before. */
  answerInputs: AnswerInputs | undefined;
  /** Decisions about the request so far, for its trace. */
  readonly decisions: TracedDecision[];
  /** A replica has answered it or a part of it, which proves that the request does not crash replicas. */
  isProvenHarmless: boolean;
  /** Number of broken attempts whose replicas are still being checked. */
  uncheckedBreaks: number;
  /** Number of replicas that crashed while running it. */
  crashes: number;
  /** Number of those that were sent the request as a probe. */
  crashedProbes: number;
  /** It is the trial of a blocked request. */
  isTrial: boolean;
  /** It is suspected, and this gateway has published its claim to probe it. */
  hasClaimed: boolean;
  /** Some legs were not sent because the request crashes replicas. */
  isStopped: boolean;
}

/** An attempt that has not ended. */
export interface ActiveAttempt {
  readonly id: AttemptId;
  /** The request for which it was sent, which may have ended. */
  readonly owner: ActiveRequest;
  readonly fingerprint: Fingerprint;
  readonly leg: Leg;
  readonly replica: string;
  readonly route: string;
  readonly repeatable: boolean;
  readonly sentAt: number;
  /** Whether the replica had room for it when it was sent, as far as this gateway knew. */
  readonly isPrompt: boolean;
  /** It was sent while the request may have crashed replicas, and shows whether it does. */
  readonly isProbe: boolean;
  /** Crash rounds of the request that were known when the attempt was sent. */
  readonly knownRounds: number;
}

/** Whether the answers of replicas to the request are parts of a gather. */
export const isGather = ({ route }: ActiveRequest): boolean => route.target.type === 'gather';

/** Creates a leg without attempts. */
export const createLeg = (service: string): Leg => ({
  service,
  attemptedReplicas: new Set(),
  wasSent: false,
  isRepeat: false,
  isCounted: false,
  unsharedReplica: undefined,
  running: new Set(),
  arrivals: 0,
  runs: 0,
  outcome: undefined,
  failure: undefined,
  refusedAsFull: false,
  mayHaveRun: false,
  pauses: 0,
  resumeAt: undefined,
  subquery: undefined,
  waiting: undefined,
  isDropped: false,
  isReported: false,
  isHeld: false,
});

/** Open legs that still wait for this subquery. */
export const openLegsOf = ({ id, legs }: ActiveSubquery): readonly Leg[] =>
  legs.filter(({ outcome, subquery }) => outcome === undefined && subquery === id);

/** Whether the leg ended with an answer or a part. */
export const isAnswered = ({ outcome }: Leg): boolean =>
  outcome?.type === 'answered' || outcome?.type === 'fed';

/** The properties that a request is created with. */
export type RequestStart = Pick<
  ActiveRequest,
  | 'call'
  | 'origin'
  | 'request'
  | 'route'
  | 'legs'
  | 'receivedAt'
  | 'deadlineAt'
  | 'ownDeadlineAt'
  | 'objectiveAt'
  | 'hedgeAt'
  | 'acknowledgeAt'
  | 'rank'
  | 'tenant'
  | 'isCallerReplaced'
>;

/** Creates a request for which nothing has been sent yet. */
export const createActiveRequest = (start: RequestStart): ActiveRequest => ({
  ...start,
  hedged: false,
  answeredLegs: 0,
  openLegs: start.legs.length,
  timerAt: undefined,
  subqueries: new Map(),
  acknowledgedSubqueries: 0,
  failedFeeders: new Set(),
  fedRecords: [],
  answerInputs: undefined,
  decisions: [],
  isProvenHarmless: false,
  uncheckedBreaks: 0,
  crashes: 0,
  crashedProbes: 0,
  isTrial: false,
  hasClaimed: false,
  isStopped: false,
});
