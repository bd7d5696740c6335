/** State of limits that hold over all nodes together. */
import type {
  GrantRequester,
  GrantLevel,
  GrantRequest,
  LimitBound,
  LimitKey,
} from '../../protocol/grant-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import type { NodeId } from '../identifiers.js';
import { MOST_ASKERS } from './limit-timing.js';

/** A node as a holder of a limit, of the whole or of a grant that it divides. */
export interface GrantHolder {
  readonly node: NodeId;
  readonly level: GrantLevel;
}

/** A slice of a limit that this node may use, or divide. */
export interface HeldGrant {
  readonly amount: number;
  readonly sequence: number;
  /** On this node's monotonic clock; checked at each use. */
  readonly expiresAt: number;
  /** How long it ran from when it was asked for. */
  readonly validMs: number;
  readonly holder: GrantHolder;
}

/** The newest request for a grant; only its answer is taken. */
export interface PendingGrant {
  readonly holder: GrantHolder;
  readonly sequence: number;
  readonly sentAt: number;
}

/** One that asks for grants of a limit: this node for itself, or for those it divides a grant among. */
export interface Grantee {
  readonly limit: LimitKey;
  readonly asker: GrantRequester;
  held: HeldGrant | undefined;
  pending: PendingGrant | undefined;
  /** Demand told with the last request, and when. */
  demand: number;
  askedAt: number;
}

/** What this node uses of one limit. */
export interface LimitUse extends Grantee {
  /** Queries in progress; 0 for a limit per second. */
  used: number;
  /** Most queries in progress since the last request. */
  peak: number;
  /** Queries that came since the last request, and those of them refused. */
  arrivals: number;
  refusals: number;
  /** Whether a query was refused in the span before the last request. */
  wasShort: boolean;
  lastArrivalAt: number;
  /** Queries that may start at once under a limit per second, as of `tokensAt`. */
  tokens: number;
  tokensAt: number;
}

/** A grant given that its node may still be using. */
export interface OutstandingGrant {
  readonly amount: number;
  readonly sequence: number;
  /** When no query that ran under it can still be in progress, on the holder's clock. */
  readonly endsAt: number;
}

/** What a holder knows of one grantee's part in a limit. */
export interface GivenSlice {
  /** See `sliceName`. */
  readonly name: string;
  /** Sequence of the newest message taken; older ones come too late. */
  newest: number;
  outstanding: OutstandingGrant[];
  used: number;
  usedUntil: number;
  demand: number;
  askedAt: number;
  /** What counts against the limit: the most that the node may be using. */
  counted: number;
}

/** All slices of one limit as its holder gives them. */
export interface LimitBook {
  readonly bound: LimitBound;
  readonly slices: Map<string, GivenSlice>;
  /** Sum of the demands of those who have asked of late. */
  demand: number;
  /** Sum of `counted` over the slices. */
  counted: number;
  /** Most that a node gets while nodes want more than there is; infinite otherwise. */
  level: number;
  /** Given above its demand to each node. */
  headroom: number;
}

/** A request for votes under way; each set of keepers must give its majority. */
export interface PendingLease {
  readonly sequence: number;
  readonly sentAt: number;
  readonly needed: readonly LeaseQuorum[];
  readonly votes: Set<NodeId>;
  /** Whether each voter so far has never voted for another candidate. */
  first: boolean;
}

/** A set of keepers and how many votes of it are needed. */
export interface LeaseQuorum {
  readonly nodes: readonly NodeId[];
  readonly majority: number;
}

/** This node's time as holder of a row's limits, lapsed or not. */
export interface Tenure {
  readonly row: string;
  leaseUntil: number;
  /** Until then, earlier holders' grants may be in use: only what nodes report is given again. */
  adoptUntil: number;
  pending: PendingLease | undefined;
  lastAskedAt: number;
  readonly books: Map<LimitBound, LimitBook>;
  /** Newest request of each node and bound that waits for the lease. */
  readonly waiting: Map<string, WaitingRequest>;
}

/** A request for a grant that came before the lease was there. */
export interface WaitingRequest {
  readonly from: NodeId;
  readonly request: GrantRequest;
}

/** This node as one that holds a grant to divide it among a zone or a group of nodes. */
export interface GrantDivider extends Grantee {
  readonly book: LimitBook;
  lastAskedAt: number;
  /** Newest request of each grantee that waits for a grant to divide. */
  readonly waiting: Map<string, WaitingRequest>;
}

/** A keeper's last vote on the lease of a row. */
export interface LeaseRecord {
  candidate: string;
  sequence: number;
  until: number;
  /** Whether this process has voted for one candidate only. */
  first: boolean;
}

/** The holders of a row by rendezvous, as of a version of the view. */
export interface CachedHolder {
  readonly viewVersion: number;
  readonly holder: NodeId;
  /** Whom this node asks for itself, for its group and for its zone, once that was needed. */
  readonly asked: Map<GrantRequester, GrantHolder>;
}

/** How this node's zone asks for grants, as of a version of the view. */
export interface ZoneLevels {
  readonly viewVersion: number;
  /** Whom a node asks for itself. */
  readonly first: GrantLevel;
  readonly zoneMembers: readonly NodeId[];
  /** Members of this node's group; empty where nodes ask no group. */
  readonly groupMembers: readonly NodeId[];
  readonly group: number;
}

/** The rows in force that have limits, as of one configuration. */
export interface LimitedRows {
  readonly rows: ReadonlyMap<string, RouteRow>;
  readonly limited: readonly RouteRow[];
}

/** Grants used, grants given and votes cast. */
export interface AdmissionState {
  /** Numbers requests; starts above all that earlier processes of this node used. */
  sequence: number;
  /** By row and bound, see `limitName`. */
  readonly uses: Map<string, LimitUse>;
  readonly tenures: Map<string, Tenure>;
  /** By `dividerName`. */
  readonly dividers: Map<string, GrantDivider>;
  readonly votes: Map<string, LeaseRecord>;
  readonly holders: Map<string, CachedHolder>;
  zoneLevels: ZoneLevels | undefined;
  /** See `MOST_ASKERS`. */
  mostAskers: number;
  limitedRows: LimitedRows;
}

/** Creates the state of a node that neither holds nor gives grants. */
export const createAdmissionState = (): AdmissionState => ({
  sequence: 0,
  uses: new Map(),
  tenures: new Map(),
  dividers: new Map(),
  votes: new Map(),
  holders: new Map(),
  zoneLevels: undefined,
  mostAskers: MOST_ASKERS,
  limitedRows: { rows: new Map(), limited: [] },
});

/** Names a limit in tables. */
export const limitName = (limit: LimitKey): string => `${limit.row}|${limit.bound}`;

/** Names a divider in tables. */
export const dividerName = (limit: LimitKey, asker: GrantRequester): string =>
  `${limitName(limit)}|${asker}`;

/**
 * Names a grantee's slice in a holder's book. What an earlier process of a divider was given may still
 * be in use by others, so that each process has its own; a node's own use ends with its process.
 */
export const sliceName = (from: NodeId, asker: GrantRequester, process: number): string =>
  asker === 'node' ? from : `${from}|${asker}|${process}`;
