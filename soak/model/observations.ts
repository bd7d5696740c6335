/**
 * What callers, replicas and the operator have seen in a run. All times are milliseconds on the steady
 * clock of the soak's own process.
 */

/** How a request ended for its caller. */
export type Outcome =
  | {
      readonly type: 'answered';
      readonly status: number;
      /** The identifier in the answer, where it has one. */
      readonly answeredId?: string;
      /** Signature of the replica's answer. */
      readonly signature?: string;
      /** Signatures of the parts of a merged answer. */
      readonly partSignatures: readonly string[];
      /** Shards that are left out of a merged answer. */
      readonly missingParts: number;
      readonly bodyDigest: string;
    }
  /** The connection ended after the request was sent and before a whole answer was in. */
  | { readonly type: 'cut' }
  /** No connection came up. */
  | { readonly type: 'unreachable' }
  /** The caller closed the connection before its deadline. */
  | { readonly type: 'left' }
  /** There was no answer until some time after the deadline. */
  | { readonly type: 'expired' };

/** The life of a gateway where it is not known which process was asked. */
export const UNKNOWN_INCARNATION = 0;

/** A request as its caller sent it and saw it end. */
export interface CallerRequest {
  readonly id: string;
  /** Number of the gateway that was asked. */
  readonly gateway: number;
  /** Which of the gateway's processes, counted from 1; or `UNKNOWN_LIFE`. */
  readonly incarnation: number;
  readonly method: string;
  readonly path: string;
  readonly bodyDigest: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
}

/** A request at a replica. */
export interface Arrival {
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly at: number;
  /** Whether the replica began to work on it; it says otherwise where it has not. */
  readonly ran: boolean;
  readonly method: string;
  readonly path: string;
  /** Time that the work takes, in milliseconds. */
  readonly workMs: number;
  /** Digest of the body; undefined until it has been read. */
  bodyDigest: string | undefined;
  /** When the replica stopped working on it; undefined while it does. */
  endedAt: number | undefined;
}

/** An answer that a replica gave. */
export interface ReplicaAnswer {
  readonly signature: string;
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly status: number;
}

/** A route of one version of the configuration. */
export interface VersionRoute {
  readonly pathPrefix: string;
  readonly repeatable: boolean;
  readonly services: readonly string[];
  readonly gather?: { readonly maxRecords: number; readonly minCoverage: number };
}

/** A version of the configuration, acknowledged by the store when it was written. */
export interface Version {
  readonly version: number;
  readonly acknowledgedAt: number;
  readonly routes: readonly VersionRoute[];
}

/** A replica that the store said drains or is gone, or whose entry cannot be read. */
export interface Departure {
  readonly replica: string;
  readonly service: string;
  readonly why: 'leaves' | 'entry-spoilt';
  readonly acknowledgedAt: number;
  /** When it had written its own entry again; undefined where it has not. */
  returnedAt: number | undefined;
}

/** What a fault has to do with. */
export type Scope =
  | { readonly type: 'gateway'; readonly gateway: number }
  | { readonly type: 'store' }
  | { readonly type: 'service'; readonly service: string }
  /** The soak's own process stood still: nothing that it saw then is in time. */
  | { readonly type: 'everything' };

/** A time in which something outside the gateways' own code went wrong or was stopped. */
export interface Disturbance {
  readonly scope: Scope;
  readonly what: string;
  /** Work that operators do on purpose: stops and starts in turn. */
  readonly planned: boolean;
  readonly from: number;
  /** Infinity while it lasts. */
  to: number;
}

/** The planned stop of a process. */
export interface PlannedStop {
  readonly gateway: number;
  readonly incarnation: number;
  readonly at: number;
  /** When the process had ended; undefined when it had to be ended by force. */
  endedAt: number | undefined;
  exitCode: number | null | undefined;
}

/** An answer to a question for readiness. */
export interface ReadinessSample {
  readonly gateway: number;
  readonly at: number;
  readonly ready: boolean;
}

/** A process that ended though nobody had asked it to. */
export interface UnexpectedExit {
  readonly gateway: number;
  readonly at: number;
  readonly detail: string;
}

/** A replica that ended under a request. */
export interface PoisonCrash {
  /** Path of the request. */
  readonly path: string;
  readonly at: number;
}

/** All that was seen in a run. */
export interface Observations {
  readonly requests: CallerRequest[];
  readonly arrivals: Arrival[];
  readonly answers: Map<string, ReplicaAnswer>;
  readonly versions: Version[];
  readonly departures: Departure[];
  readonly disturbances: Disturbance[];
  readonly stops: PlannedStop[];
  readonly readiness: ReadinessSample[];
  readonly unexpectedExits: UnexpectedExit[];
  readonly poisonCrashes: PoisonCrash[];
  /** When the last fault was over; undefined while there are faults. */
  faultsEndedAt: number | undefined;
}

/** Observations of a run that has not begun. */
export const createObservations = (): Observations => ({
  requests: [],
  arrivals: [],
  answers: new Map(),
  versions: [],
  departures: [],
  disturbances: [],
  stops: [],
  readiness: [],
  unexpectedExits: [],
  poisonCrashes: [],
  faultsEndedAt: undefined,
});
