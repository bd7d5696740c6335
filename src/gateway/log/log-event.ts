/**
 * All log events of a gateway: decisions about requests, and changes of its state. Each has a name, the inputs on
 * which it was based, and a description for the reference (`log-descriptions.ts`).
 */
import type { AnswerInputs } from '../model/answer-timing.js';
import type {
  AttemptProblem,
  AttemptId,
  Fingerprint,
  RefusalReason,
  UnreadableProblem,
} from '../model/request.js';
import type { PeerProblem, SubqueryId } from '../model/subquery.js';
import type { StoreEra } from '../store/store-position.js';

/** Why an attempt was sent. */
export type AttemptReason = 'first' | 'retry' | 'hedge';

/** Inputs of a refusal because of a tenant's limit. Times are in milliseconds. */
export interface LimitRefusal {
  readonly tenant: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** The gateway that had no token; empty if none answered. */
  readonly decidedBy: string;
  /** How long ago this was learned; requests until the next token is due are refused without asking again. */
  readonly decidedMsAgo: number;
  /** Time until a token is expected. */
  readonly tokenInMs: number;
}

/** Inputs of a refusal because the process stops. Times are in milliseconds. */
export interface StopInputs {
  /** Time since the stop was requested. */
  readonly sinceMs: number;
  /** Time until all requests are answered. */
  readonly leftMs: number;
  /** Time in which nearly all attempts of the route end at a replica with room. */
  readonly neededMs: number;
  /** Time that such an attempt may wait for a slot; absent if a replica has room. */
  readonly waitMs?: number;
}

/** A decision about one request. Times are in milliseconds. */
export type Decision =
  | {
      readonly event: 'request-admitted';
      readonly route: string;
      /** The caller's tenant; absent if it has none. */
      readonly tenant?: string;
      readonly fingerprint: Fingerprint;
      readonly version: number;
      /** How long the version has been in force. */
      readonly versionAgeMs: number;
      /** Time since the store was restored from a backup; present for 30 s after that. */
      readonly storeReturnedMsAgo?: number;
      readonly legs: number;
      readonly budgetMs: number;
      readonly hedgeInMs: number;
    }
  | {
      readonly event: 'attempt-sent';
      readonly attempt: AttemptId;
      readonly reason: AttemptReason;
      readonly service: string;
      readonly replica: string;
      readonly zone: string;
      /** Factor by which the replica is expected to be slower than usual. */
      readonly slowdown: number;
      readonly pending: number;
      /** How long the attempt waited for room; absent if it did not. */
      readonly waitedMs?: number;
      /** Age of the replica's last load report; absent if there is none. */
      readonly loadAgeMs?: number;
    }
  | {
      readonly event: 'attempt-ended';
      readonly attempt: AttemptId;
      readonly replica: string;
      readonly outcome: 'answered' | 'not-run' | AttemptProblem;
      readonly status?: number;
      readonly elapsedMs: number;
      /** The request was answered before this attempt ended; its result was discarded. */
      readonly dropped: boolean;
    }
  | {
      readonly event: 'attempt-crashed';
      readonly attempt: AttemptId;
      readonly replica: string;
    }
  | {
      readonly event: 'legs-held';
      /** Replicas that the request has crashed, and interrupted attempts whose replica has not been checked yet. */
      readonly crashes: number;
      readonly uncheckedBreaks: number;
    }
  | {
      readonly event: 'attempt-waiting';
      readonly service: string;
      readonly reason: AttemptReason;
      readonly rank: number;
      /** Attempts of this class and more urgent ones that wait already, all that wait, and the expected wait. */
      readonly ahead: number;
      readonly waiting: number;
      readonly expectedMs: number;
      /** Usable replicas of the shard, and the attempts of this feeder that are in progress at them. */
      readonly replicas: number;
      readonly inProgress: number;
      /** Attempts that this feeder may have in progress at them, and their slots that are idle as far as it knows. */
      readonly limit: number;
      readonly idleSlots: number;
    }
  | {
      readonly event: 'attempt-dropped';
      readonly service: string;
      readonly rank: number;
      readonly waitedMs: number;
      /** Time left until the deadline, and the usual duration of an attempt. */
      readonly leftMs: number;
      readonly usualMs: number;
    }
  | {
      readonly event: 'legs-dropped';
      readonly subquery: SubqueryId;
      readonly peer: string;
      readonly shards: number;
    }
  | {
      readonly event: 'room-lacking';
      readonly rank: number;
      /** Shards with a wait beyond the deadline, and the largest number of shards that may be missing. */
      readonly shards: number;
      readonly maxMissing: number;
      /** The wait at the shard that decides, and the time that a replica has until the deadline. */
      readonly waitMs: number;
      readonly leftMs: number;
      /** The gather was sent all the same. */
      readonly isSent: boolean;
    }
  | { readonly event: 'budget-denied'; readonly service: string; readonly left: number }
  | { readonly event: 'leg-paused'; readonly service: string; readonly forMs: number }
  | {
      readonly event: 'subquery-sent';
      readonly subquery: SubqueryId;
      readonly peer: string;
      readonly shards: number;
      readonly isRepeat: boolean;
    }
  | {
      readonly event: 'subquery-answered';
      readonly subquery: SubqueryId;
      readonly parts: number;
      readonly isFinal: boolean;
      readonly elapsedMs: number;
    }
  | {
      readonly event: 'legs-unsent';
      readonly subquery: SubqueryId;
      readonly peer: string;
      readonly shards: number;
    }
  | {
      readonly event: 'subquery-failed';
      readonly subquery: SubqueryId;
      readonly peer: string;
      readonly mayHaveRun: boolean;
      readonly elapsedMs: number;
    }
  | {
      readonly event: 'subquery-admitted';
      readonly route: string;
      readonly fingerprint: Fingerprint;
      readonly shards: number;
      readonly isRepeat: boolean;
      readonly partsInMs: number;
    }
  | {
      readonly event: 'parts-sent';
      readonly missing: readonly string[];
      readonly elapsedMs: number;
    }
  | { readonly event: 'subquery-cancelled'; readonly elapsedMs: number }
  | { readonly event: 'leg-failed'; readonly service: string; readonly runs: number }
  | {
      readonly event: 'request-answered';
      readonly outcome: 'whole' | 'partial' | 'passed-on' | 'refused';
      readonly status?: number;
      readonly reason?: RefusalReason;
      readonly mayHaveRun?: boolean;
      /** The target that matched no route, the version in force and its age; present if that is the reason. */
      readonly noRoute?: {
        readonly host: string;
        readonly path: string;
        readonly version: number;
        readonly versionAgeMs: number;
      };
      /**
       * The route and the version by which the API key was refused, and the number of different keys in the request, 2
       * for more; present if that is the reason.
       */
      readonly refusedKey?: {
        readonly route: string;
        readonly keys: number;
        readonly version: number;
        readonly versionAgeMs: number;
      };
      /** The blocked request, its rounds of crashes, and the time left; present if that is the reason. */
      readonly blocked?: {
        readonly fingerprint: Fingerprint;
        readonly rounds: number;
        readonly level: number;
        readonly forMs: number;
      };
      /** Why a gather was answered then: its margin, the parts expected if it had waited, and the risk of being late. */
      readonly timing?: AnswerInputs;
      /** Age and source of the key confirmation, and the age that is allowed; present if that is the reason. */
      readonly unconfirmed?: {
        /** Absent if there has been no confirmation. */
        readonly ageMs?: number;
        readonly source?: string;
        readonly limitMs: number;
        readonly version: number;
      };
      /** The stop that leaves too little time for the request; present if that is the reason. */
      readonly stop?: StopInputs;
      /** The tenant's limit and the decision about it; present if that is the reason. */
      readonly limit?: LimitRefusal;
      readonly missing: readonly string[];
      readonly objectiveMs: number;
      readonly elapsedMs: number;
    }
  | { readonly event: 'caller-left'; readonly elapsedMs: number };

/** Use of the retry budget of one service in a log interval, and the state of the budget after the last attempt. */
export interface BudgetUse {
  /** Attempts that took from the budget, by reason; `resend`: another feeder may have sent the leg before. */
  readonly retry: number;
  readonly hedge: number;
  readonly resend: number;
  readonly denied: number;
  /** Requests and extra attempts that this process has counted in the window. */
  readonly requests: number;
  readonly extras: number;
  /** The share of the slack that this gateway may use in the window, 0 to 1. */
  readonly share: number;
}

/** A decision with its time on the monotonic clock, in milliseconds. */
export interface TracedDecision {
  readonly at: number;
  readonly decision: Decision;
}

/** Why the decisions about a request are logged. */
export type TraceReason = 'failed' | 'sampled';

/** State of a replica according to the store. */
export type ReplicaState = 'listed' | 'draining' | 'gone';

/**
 * A change of the gateway's state, of its view of other components, or of its lifecycle. The log line also has `time`,
 * `node`, `level` and `part`.
 */
export type StateChange =
  | { readonly event: 'started' }
  | { readonly event: 'ready'; readonly ready: boolean; readonly phase: string }
  | { readonly event: 'stood-still'; readonly forMs: number; readonly suspendedMs: number }
  | { readonly event: 'went-on'; readonly afterMs: number; readonly isConfirmed: boolean }
  | {
      readonly event: 'stopping';
      readonly requests: number;
      /** Time since the process received the signal. */
      readonly signalledMsAgo: number;
      /** Time until all requests are answered, and until the process ends at the latest. */
      readonly answersDueInMs: number;
      readonly endInMs: number;
    }
  | {
      readonly event: 'ended';
      readonly requests: number;
      /** Requests of callers that were being received, and answers that were being sent. */
      readonly openExchanges: number;
      readonly stopMs: number;
    }
  | { readonly event: 'settings-reloaded' }
  | { readonly event: 'settings-refused'; readonly findings: readonly string[] }
  | {
      readonly event: 'configuration-in-force';
      readonly version: number;
      readonly previous?: number;
      readonly routes: number;
      /** Source of the version: `store`, or the name of a reader. */
      readonly from: string;
      /** Time since the previous configuration was last confirmed to be the latest; absent for the first one. */
      readonly unconfirmedMs?: number;
    }
  | {
      readonly event: 'keys-confirmed' | 'keys-unconfirmed';
      readonly version: number;
      /** Age of the confirmation. */
      readonly ageMs: number;
      /** Source of the confirmation: `store`, or the name of a gateway. */
      readonly source: string;
    }
  | {
      readonly event: 'object-unreadable';
      readonly collection: string;
      readonly name: string;
      /** The field, and what is wrong with it; absent if the object came from a reader. */
      readonly problem?: string;
      /** Number of unreadable objects read with it that have no line of their own; absent if all have one. */
      readonly unnamed?: number;
    }
  | {
      readonly event: 'request-unreadable';
      readonly problem: UnreadableProblem;
      readonly status: number;
      readonly detail: string;
      readonly from: string;
      /** Number of refusals for the same problem since its last line. */
      readonly unlogged: number;
    }
  | {
      readonly event: 'answer-unreadable';
      readonly replica: string;
      readonly service: string;
      readonly problem: AttemptProblem;
      /** Time from the start of the attempt. */
      readonly elapsedMs: number;
      /** Number of answers with the same problem since its last line. */
      readonly unlogged: number;
    }
  | {
      readonly event: 'store-era-changed';
      readonly era: number;
      readonly previous: number;
      /** Source of the era: `store`, or the name of a reader. */
      readonly from: string;
    }
  | {
      readonly event: 'store-returned';
      readonly era: number;
      readonly previous: number;
      /** Time since the gateway first learned of the era. */
      readonly readAfterMs: number;
      /** The version of the configuration in force. */
      readonly version: number;
      /** Number of objects that the store has lost and that stay in use for some seconds, by collection. */
      readonly missing: Readonly<Record<string, number>>;
      /** Number of objects that went back to an earlier state, which is not applied for some seconds, by collection. */
      readonly older: Readonly<Record<string, number>>;
    }
  | {
      readonly event: 'list-dropped';
      readonly collection: string;
      readonly revision: number;
      readonly era?: StoreEra;
      readonly knownRevision?: number;
    }
  | {
      readonly event: 'news-dropped';
      readonly collection: string;
      readonly reader: string;
      readonly revision: number;
      readonly era?: StoreEra;
      readonly knownRevision: number;
      readonly knownEra?: StoreEra;
    }
  | { readonly event: 'store-lost' }
  | { readonly event: 'store-regained'; readonly lostForMs: number }
  | {
      readonly event: 'store-call-failed';
      readonly collection: string;
      readonly problem: string;
      readonly detail: string;
    }
  | { readonly event: 'replicas-listed'; readonly replicas: number }
  | {
      readonly event: 'replica-changed';
      readonly replica: string;
      readonly service: string;
      readonly state: ReplicaState;
    }
  | {
      readonly event: 'replicas-changed';
      readonly replicas: number;
      /** The replicas by state and service. */
      readonly listed?: Readonly<Record<string, number>>;
      readonly draining?: Readonly<Record<string, number>>;
      readonly gone?: Readonly<Record<string, number>>;
      /** Number of replicas of services for which the line has no room. */
      readonly unnamed?: number;
    }
  | { readonly event: 'zone-evacuated'; readonly zone: string; readonly evacuated: boolean }
  | {
      readonly event: 'replica-ejected';
      readonly replica: string;
      readonly failures: number;
      readonly forMs: number;
    }
  | {
      readonly event: 'replica-crashed';
      readonly replica: string;
      readonly service: string;
      /** Some of the requests of this gateway that the replica was running. */
      readonly fingerprints: readonly Fingerprint[];
      /** Number of these requests, and how many of them were no longer awaited by anybody. */
      readonly requests: number;
      readonly unawaited: number;
    }
  | {
      readonly event: 'request-suspected';
      readonly fingerprint: Fingerprint;
      /** Rounds in which the request crashed replicas, and the number of rounds that blocks it. */
      readonly rounds: number;
      readonly blockingRounds: number;
      /** This gateway, or the one that reported it. */
      readonly from: string;
    }
  | {
      readonly event: 'request-blocked';
      readonly fingerprint: Fingerprint;
      /** Number of consecutive blocks. */
      readonly times: number;
      readonly forMs: number;
      readonly from: string;
    }
  | {
      readonly event: 'request-cleared';
      readonly fingerprint: Fingerprint;
      readonly from: string;
      /** The replica that answered, and its status; absent if another gateway reported it. */
      readonly replica?: string;
      readonly status?: number;
    }
  | {
      readonly event: 'peer-suspected';
      readonly peer: string;
      readonly problem: PeerProblem;
    }
  | { readonly event: 'peer-trusted'; readonly peer: string }
  | { readonly event: 'reader-followed'; readonly reader: string }
  | { readonly event: 'reader-status'; readonly reader: string; readonly isCurrent: boolean }
  | { readonly event: 'reading-changed'; readonly isReading: boolean; readonly followers: number }
  | { readonly event: 'gateways-counted'; readonly gateways: number; readonly previous: number }
  | {
      readonly event: 'tenant-over-limit';
      readonly tenant: string;
      readonly ratePerSecond: number;
      readonly burst: number;
      /** Tokens in the owner's bucket, and those leased to other gateways. */
      readonly available: number;
      readonly leased: number;
      /** Gateways that asked for tokens recently, and those with most leased tokens. */
      readonly holders: number;
      readonly largest: Readonly<Record<string, number>>;
      /** The version of the configuration that sets the limit, and the age of its confirmation. */
      readonly version: number;
      readonly confirmedMs?: number;
      /** How long this process has owned the tenant; absent if since the first start of the tier. */
      readonly ownedMs?: number;
    }
  | {
      readonly event: 'tenant-within-limit';
      readonly tenant: string;
      /** Time from the first refusal to the last one. */
      readonly forMs: number;
      /** Requests for tokens that the owner refused; other gateways refuse further requests without asking. */
      readonly refused: number;
    }
  | {
      readonly event: 'retry-budget-used';
      readonly gateways: number;
      readonly services: Readonly<Record<string, BudgetUse>>;
      /** Extra attempts at services for which the line has no room. */
      readonly unnamed: number;
    }
  | { readonly event: 'lines-dropped'; readonly lines: number };
