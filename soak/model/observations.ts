/**
 * Observations of callers, replicas and the operator during a run. All times are milliseconds on the monotonic
 * clock of the soak process.
 */

/** Result of a request, as seen by its caller. */
export type Outcome =
  | {
      readonly type: 'answered';
      readonly status: number;
      /** Request identifier in the answer; absent if the answer has none. */
      readonly answeredId?: string;
      /** Signature of the replica that answered; absent if the answer has none. */
      readonly signature?: string;
      /** Signatures of the parts of a merged answer. */
      readonly partSignatures: readonly string[];
      /** Number of shards missing from a merged answer. */
      readonly missingParts: number;
      readonly bodyDigest: string;
    }
  /** The connection closed after the request was sent and before the answer was complete. */
  | { readonly type: 'cut' }
  /** No connection could be established. */
  | { readonly type: 'unreachable' }
  /** The caller closed the connection before its deadline. */
  | { readonly type: 'left' }
  /** No answer arrived by some time after the deadline. */
  | { readonly type: 'expired' };

/** Incarnation of requests whose gateway process is not known. */
export const UNKNOWN_INCARNATION = 0;

/** A request as sent by its caller, with its result. */
export interface CallerRequest {
  readonly id: string;
  /** Number of the gateway that received it. */
  readonly gateway: number;
  /** Incarnation of the gateway process, counted from 1, or `UNKNOWN_INCARNATION`. */
  readonly incarnation: number;
  readonly method: string;
  readonly path: string;
  /** API key that the caller sent; absent if it sent none. */
  readonly apiKey?: string;
  readonly bodyDigest: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
}

/** A request that arrived at a replica. */
export interface Arrival {
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly at: number;
  /** Whether the replica ran the request; false if it refused it. */
  readonly ran: boolean;
  readonly method: string;
  readonly path: string;
  /** Processing time of the request, in milliseconds. */
  readonly workMs: number;
  /** Value of the tenant header; absent if there was none. */
  readonly tenant?: string;
  /** Whether an API key was found in the headers or the path. */
  readonly showsKey?: boolean;
  /** Digest of the body; undefined until the body has been read. */
  bodyDigest: string | undefined;
  /** When the replica stopped processing it; undefined while it is running. */
  endedAt: number | undefined;
}

/** An answer sent by a replica. */
export interface ReplicaAnswer {
  readonly signature: string;
  readonly requestId: string;
  readonly replica: string;
  readonly service: string;
  readonly status: number;
}

/** A route in one version of the configuration. */
export interface VersionRoute {
  readonly pathPrefix: string;
  readonly repeatable: boolean;
  readonly services: readonly string[];
  readonly gather?: { readonly maxRecords: number; readonly minCoverage: number };
}

/** A tenant in one version of the configuration. */
export interface VersionTenant {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
  /** Quota; absent if the tenant has none. */
  readonly limit?: { readonly ratePerSecond: number; readonly burst: number };
}

/** A version of the configuration, with the time at which the store acknowledged its write. */
export interface Version {
  readonly version: number;
  readonly acknowledgedAt: number;
  readonly routes: readonly VersionRoute[];
  /** Absent if the configuration has no tenants, so that no key is needed. */
  readonly tenants?: readonly VersionTenant[];
}

/** A replica whose entry in the store says that it drains, was removed, or was overwritten with an invalid one. */
export interface Departure {
  readonly replica: string;
  readonly service: string;
  readonly why: 'leaves' | 'entry-spoilt';
  readonly acknowledgedAt: number;
  /** When the replica restored its own entry; undefined if it has not. */
  returnedAt: number | undefined;
}

/** The part of the deployment that a disturbance affects. */
export type Scope =
  | { readonly type: 'gateway'; readonly gateway: number }
  | { readonly type: 'store' }
  | { readonly type: 'service'; readonly service: string }
  /** The soak process itself stalled, so that none of its observations in that time are reliable. */
  | { readonly type: 'everything' };

/** A period with a fault or a planned stop outside the code of the gateways. */
export interface Disturbance {
  readonly scope: Scope;
  readonly what: string;
  /** Whether it is planned work of operators, such as a rolling restart. */
  readonly planned: boolean;
  readonly from: number;
  /** Infinity while it is going on. */
  to: number;
}

/** The planned stop of a gateway process. */
export interface PlannedStop {
  readonly gateway: number;
  readonly incarnation: number;
  readonly at: number;
  /** When the process exited; undefined if it had to be killed. */
  endedAt: number | undefined;
  exitCode: number | null | undefined;
}

/** Result of one readiness check. */
export interface ReadinessSample {
  readonly gateway: number;
  readonly at: number;
  readonly ready: boolean;
}

/** A gateway process that exited without having been stopped. */
export interface UnexpectedExit {
  readonly gateway: number;
  readonly at: number;
  readonly detail: string;
}

/** The crash of a replica while it ran a poison request. */
export interface PoisonCrash {
  /** Path of the request. */
  readonly path: string;
  readonly at: number;
}

/** An API key in the output of a gateway. */
export interface LoggedKey {
  readonly gateway: number;
  readonly at: number;
}

/** All observations of a run. */
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
  /** Outputs of gateways that contain an API key. */
  readonly loggedKeys: LoggedKey[];
  /** When the last fault ended; undefined while there are faults. */
  faultsEndedAt: number | undefined;
}

/** Creates the empty observations of a run that has not started. */
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
  loggedKeys: [],
  faultsEndedAt: undefined,
});
