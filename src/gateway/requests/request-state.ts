/** Requests in progress: each has one leg, or one for each shard. */
import type { TracedDecision } from '../log/log-event.js';
import type { Route } from '../model/route.js';
import type {
  AttemptId,
  CallerRequest,
  CallId,
  Fingerprint,
  ReplicaAnswer,
} from '../model/request.js';
import type { SubqueryId } from '../model/subquery.js';

/** The part of a request that one service answers. */
export interface Leg {
  readonly service: string;
  /** Identifiers of replicas that the request was sent to. */
  readonly attemptedReplicas: Set<string>;
  /** An attempt was sent from here; unlike `tried`, this stays when all replicas are tried again. */
  wasSent: boolean;
  /** Replicas may have run it before, for a feeder that has failed. */
  isRepeat: boolean;
  /** The replica that was chosen outside those that all feeders share; undefined while there is none. */
  unsharedReplica: string | undefined;
  /** Attempts that run. */
  readonly running: Set<AttemptId>;
  /** Attempts that reached a replica, or may have. */
  arrivals: number;
  /** Attempts that a replica ran, or may have. */
  runs: number;
  /** What ended the leg. */
  outcome: LegOutcome | undefined;
  /** The last failure of a replica, passed on when nothing better comes. */
  failure: ReplicaAnswer | undefined;
  /** The last attempt was refused by a full replica. */
  refusedAsFull: boolean;
  /** An attempt ended without telling whether the request ran: no refusal may say that it has not. */
  mayHaveRun: boolean;
  /** Pauses so far, after all replicas refused or could not be reached. */
  pauses: number;
  /** When the leg tries all replicas again; undefined while it does not pause. */
  resumeAt: number | undefined;
  /** The subquery by which a feeder was asked for the part; undefined while none is open. */
  subquery: SubqueryId | undefined;
  /** The part was sent to the gateway that asked for it. */
  isReported: boolean;
  /** It waits until the guard of the request lets it go. */
  isHeld: boolean;
}

/**
 * How a leg ended. `fed`: a feeder has sent the part; its records are among those of the request.
 */
export type LegOutcome =
  | { readonly type: 'answered'; readonly answer: ReplicaAnswer }
  | { readonly type: 'fed'; readonly signature: string }
  | { readonly type: 'unanswered' };

/** A subquery that a feeder has not answered in full. */
export interface ActiveSubquery {
  readonly id: SubqueryId;
  readonly peer: string;
  /** Legs that it was sent for; one that names another subquery, or none, has been moved since. */
  readonly legs: readonly Leg[];
  /** Replicas may have run the request before, for another feeder. */
  readonly isRepeat: boolean;
  readonly sentAt: number;
  /** When the feeder must have acknowledged it; undefined once it has. */
  acknowledgeBy: number | undefined;
  /** It was overdue once already: what had arrived by then has been read since. */
  isOverdue: boolean;
  /** It was sent to see whether replicas end under the request. */
  readonly isProbe: boolean;
}

/** Who gets the answer: a caller, or a gateway that has asked for some shards. */
export type RequestOrigin = 'caller' | 'coordinator';

/** A request in progress. */
export interface ActiveRequest {
  readonly call: CallId;
  readonly origin: RequestOrigin;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly legs: readonly Leg[];
  readonly receivedAt: number;
  /** When the final answer is due, whatever has come. */
  readonly deadlineAt: number;
  /** When an answer must leave to be in time for the objective. */
  readonly objectiveAt: number;
  /** When legs without an answer get a second attempt. */
  hedgeAt: number;
  hedged: boolean;
  answeredLegs: number;
  openLegs: number;
  /** When the request's timer is due; undefined before it is first set. */
  timerAt: number | undefined;
  readonly subqueries: Map<SubqueryId, ActiveSubquery>;
  /** Subqueries of which a feeder has said something. */
  acknowledgedSubqueries: number;
  /** Feeders that failed this request. */
  readonly failedFeeders: Set<string>;
  /** When the gateway that asked is told that this feeder is at work; undefined once it knows. */
  acknowledgeAt: number | undefined;
  /** Records of the parts that feeders have sent. */
  readonly fedRecords: Uint8Array[];
  /** What was decided about it so far. */
  readonly decisions: TracedDecision[];
  /** Attempts that broke off whose replicas are being looked at. */
  uncheckedBreaks: number;
  /** Replicas that have ended under it. */
  crashes: number;
  /** Those of them to which it was sent after others had ended. */
  crashedProbes: number;
  /** It was blocked, and is tried now. */
  isTrial: boolean;
  /** It is suspected, and the other gateways were told that it is tried here. */
  hasClaimed: boolean;
  /** Legs were not sent because replicas end under the request. */
  isStopped: boolean;
}

/** An attempt at a replica that has not ended. */
export interface ActiveAttempt {
  readonly id: AttemptId;
  /** The request that it was sent for, also after that has ended. */
  readonly owner: ActiveRequest;
  readonly fingerprint: Fingerprint;
  readonly leg: Leg;
  readonly replica: string;
  readonly route: string;
  readonly repeatable: boolean;
  readonly sentAt: number;
  /** It was sent to see whether replicas end under the request. */
  readonly isProbe: boolean;
  /** Rounds of replicas that ended under the request, as they were known when it was sent. */
  readonly knownRounds: number;
}

/** Whether what replicas answer to the request are parts of a gather. */
export const isGather = ({ route }: ActiveRequest): boolean => route.target.type === 'gather';

/** Creates a leg without attempts. */
export const createLeg = (service: string): Leg => ({
  service,
  attemptedReplicas: new Set(),
  wasSent: false,
  isRepeat: false,
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
  isReported: false,
  isHeld: false,
});

/** Legs of a subquery that still wait for it. */
export const openLegsOf = ({ id, legs }: ActiveSubquery): readonly Leg[] =>
  legs.filter(({ outcome, subquery }) => outcome === undefined && subquery === id);

/** Whether the part of a leg is in. */
export const isAnswered = ({ outcome }: Leg): boolean =>
  outcome?.type === 'answered' || outcome?.type === 'fed';

/** What a request begins with. */
export type RequestStart = Pick<
  ActiveRequest,
  | 'call'
  | 'origin'
  | 'request'
  | 'route'
  | 'legs'
  | 'receivedAt'
  | 'deadlineAt'
  | 'objectiveAt'
  | 'hedgeAt'
  | 'acknowledgeAt'
>;

/** Creates a request for which nothing was sent yet. */
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
  decisions: [],
  uncheckedBreaks: 0,
  crashes: 0,
  crashedProbes: 0,
  isTrial: false,
  hasClaimed: false,
  isStopped: false,
});
