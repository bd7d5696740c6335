/**
 * Everything that a gateway logs: decisions about requests, and changes of what it believes. Each has
 * a name, the inputs that decided, and a description for the reference.
 */
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

/** A decision that touches one request. Times are in milliseconds. */
export type Decision =
  | {
      readonly event: 'request-admitted';
      readonly route: string;
      readonly fingerprint: Fingerprint;
      readonly version: number;
      /** How long the version is in force. */
      readonly versionAgeMs: number;
      /** How long before the store had returned from a copy; present for 30 s after that. */
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
      /** How much longer than usual the replica is expected to take. */
      readonly slowdown: number;
      readonly pending: number;
      /** Age of the replica's last report of its load; absent where there is none. */
      readonly loadAgeMs?: number;
    }
  | {
      readonly event: 'attempt-ended';
      readonly attempt: AttemptId;
      readonly replica: string;
      readonly outcome: 'answered' | 'not-run' | AttemptProblem;
      readonly status?: number;
      readonly elapsedMs: number;
      /** The request had its answer before; the attempt's was dropped. */
      readonly dropped: boolean;
    }
  | {
      readonly event: 'attempt-crashed';
      readonly attempt: AttemptId;
      readonly replica: string;
    }
  | {
      readonly event: 'legs-held';
      /** Replicas that have ended under the request, and attempts that broke off unexplained. */
      readonly crashes: number;
      readonly uncheckedBreaks: number;
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
      /** What fitted no route, the version in force and since when; present where that is the reason. */
      readonly noRoute?: {
        readonly host: string;
        readonly path: string;
        readonly version: number;
        readonly versionAgeMs: number;
      };
      /** Which request is blocked, by how many rounds of crashes, and for how much longer; present where that is the reason. */
      readonly blocked?: {
        readonly fingerprint: Fingerprint;
        readonly rounds: number;
        readonly level: number;
        readonly forMs: number;
      };
      readonly missing: readonly string[];
      readonly objectiveMs: number;
      readonly elapsedMs: number;
    }
  | { readonly event: 'caller-left'; readonly elapsedMs: number };

/** A decision with its time on the monotonic clock. */
export interface TracedDecision {
  readonly at: number;
  readonly decision: Decision;
}

/** Why the decisions of a request are logged. */
export type TraceReason = 'failed' | 'sampled';

/** What the store says of a replica. */
export type ReplicaState = 'listed' | 'draining' | 'gone';

/** A change of what the gateway believes, or of its own life. The line has `time`, `node`, `level` and `part` besides. */
export type StateChange =
  | { readonly event: 'started' }
  | { readonly event: 'ready'; readonly ready: boolean; readonly phase: string }
  | { readonly event: 'stood-still'; readonly forMs: number; readonly suspendedMs: number }
  | { readonly event: 'went-on'; readonly afterMs: number; readonly isConfirmed: boolean }
  | { readonly event: 'stopping'; readonly requests: number }
  | { readonly event: 'ended'; readonly requests: number; readonly stopMs: number }
  | { readonly event: 'settings-reloaded' }
  | { readonly event: 'settings-refused'; readonly findings: readonly string[] }
  | {
      readonly event: 'configuration-in-force';
      readonly version: number;
      readonly previous?: number;
      readonly routes: number;
      /** Who told it: `store`, or the name of a reader. */
      readonly from: string;
      /** How long before this it was last known that nothing newer is in the store; absent at first. */
      readonly unconfirmedMs?: number;
    }
  | {
      readonly event: 'object-unreadable';
      readonly collection: string;
      readonly name: string;
      /** The field, and what is wrong with it; absent where a reader told it. */
      readonly problem?: string;
      /** Others that came with it and have no line; absent where all have one. */
      readonly unnamed?: number;
    }
  | {
      readonly event: 'request-unreadable';
      readonly problem: UnreadableProblem;
      readonly status: number;
      readonly detail: string;
      readonly from: string;
      /** Others of the same problem since the last line about one. */
      readonly unlogged: number;
    }
  | {
      readonly event: 'store-era-changed';
      readonly era: number;
      readonly previous: number;
      /** Who told it: `store`, or the name of a reader. */
      readonly from: string;
    }
  | {
      readonly event: 'store-returned';
      readonly era: number;
      readonly previous: number;
      /** How long after the era was first known. */
      readonly readAfterMs: number;
      /** The version of the configuration in force. */
      readonly version: number;
      /** Objects that the store has lost and that are known on for some seconds, by collection. */
      readonly missing: Readonly<Record<string, number>>;
      /** Objects that it holds as they were before, and that are not taken for some seconds, by collection. */
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
      /** Replicas of services for which the line has no room. */
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
      /** Some of the requests that it was running, those of this gateway. */
      readonly fingerprints: readonly Fingerprint[];
      /** How many they were, and how many of them nobody waited for any more. */
      readonly requests: number;
      readonly unawaited: number;
    }
  | {
      readonly event: 'request-suspected';
      readonly fingerprint: Fingerprint;
      /** Rounds of replicas that ended under it, and how many block it. */
      readonly rounds: number;
      readonly blockingRounds: number;
      /** The gateway that knew it first-hand, or told it. */
      readonly from: string;
    }
  | {
      readonly event: 'request-blocked';
      readonly fingerprint: Fingerprint;
      /** How often it was blocked in a row. */
      readonly times: number;
      readonly forMs: number;
      readonly from: string;
    }
  | {
      readonly event: 'request-cleared';
      readonly fingerprint: Fingerprint;
      readonly from: string;
      /** The replica that has answered it, and its status; absent where another gateway told it. */
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
  | { readonly event: 'lines-dropped'; readonly lines: number };
