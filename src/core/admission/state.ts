/** State of limits that apply to all nodes together. */
import type {
  GrantRequester,
  GrantLevel,
  GrantRequest,
  LimitBound,
  LimitKey,
} from '../../protocol/grant-messages.js';
import type { RouteRow } from '../../table/route-row.js';
import type { NodeId } from '../identifiers.js';
import { MAX_REQUESTERS } from './limit-timing.js';

/** A node that grants slices: the holder of a row's limits, or a divider of its own grant. */
export interface GrantHolder {
  readonly node: NodeId;
  readonly level: GrantLevel;
}

/** A slice of a limit that this node may use or divide. */
export interface HeldGrant {
  readonly amount: number;
  readonly sequence: number;
  /** End on this node's monotonic clock, in milliseconds; checked at each use. */
  readonly expiresAt: number;
  /** Validity from the sending of its request, in milliseconds. */
  readonly validMs: number;
  readonly holder: GrantHolder;
}

/** The newest request for a grant; other answers are ignored. */
export interface PendingGrant {
  readonly holder: GrantHolder;
  readonly sequence: number;
  readonly sentAt: number;
}

/** A requester of grants of a limit: this node for itself, or as a divider for its grantees. */
export interface Grantee {
  readonly limit: LimitKey;
  readonly asker: GrantRequester;
  held: HeldGrant | undefined;
  pending: PendingGrant | undefined;
  /** Demand reported with the last request, and the time of that request. */
  demand: number;
  requestedAt: number;
}

/** This node's use of one limit. */
export interface LimitUse extends Grantee {
  /** Number of queries in progress; 0 for a limit per second. */
  used: number;
  /** Maximum number of queries in progress since the last request. */
  peak: number;
  /** Number of queries that arrived since the last request, and how many of them were refused. */
  arrivals: number;
  refusals: number;
  /** Whether a query was refused in the measuring interval before the last request. */
  hadRefusals: boolean;
  lastArrivalAt: number;
  /** Number of queries that may start at once under a limit per second, as of `tokensAt`. */
  tokens: number;
  tokensAt: number;
}

/** A grant given that its grantee may still be using. */
export interface OutstandingGrant {
  readonly amount: number;
  readonly sequence: number;
  /** Time on the holder's clock after which no query admitted under it can be in progress. */
  readonly endsAt: number;
}

/** A holder's record of one grantee's part of a limit. */
export interface GivenSlice {
  /** See `sliceName`. */
  readonly name: string;
  /** Sequence of the newest message applied; older messages are ignored. */
  newest: number;
  outstanding: OutstandingGrant[];
  used: number;
  usedUntil: number;
  demand: number;
  requestedAt: number;
  /** Amount that counts against the limit: the maximum that the grantee may be using. */
  counted: number;
}

/** All slices of one limit that its holder has granted. */
export interface LimitBook {
  readonly bound: LimitBound;
  readonly slices: Map<string, GivenSlice>;
  /** Sum of the demands of grantees with recent requests. */
  demand: number;
  /** Sum of `counted` over the slices. */
  counted: number;
  /** Maximum amount per node while the total demand exceeds the limit; infinite otherwise. */
  level: number;
  /** Amount that each node gets above its demand. */
  headroom: number;
}

/** A pending request for votes; it needs a majority of each set of keepers. */
export interface PendingLease {
  readonly sequence: number;
  readonly sentAt: number;
  readonly needed: readonly LeaseQuorum[];
  readonly votes: Set<NodeId>;
  /** Whether no voter so far has voted for another candidate. */
  first: boolean;
}

/** A set of keepers and the number of its votes that are needed. */
export interface LeaseQuorum {
  readonly nodes: readonly NodeId[];
  readonly majority: number;
}

/** This node's tenure as holder of a row's limits, whether or not its lease has lapsed. */
export interface Tenure {
  readonly row: string;
  leaseUntil: number;
  /** Time until which grants of earlier holders may be in use, and only reported amounts are granted. */
  adoptUntil: number;
  pending: PendingLease | undefined;
  lastRequestAt: number;
  readonly books: Map<LimitBound, LimitBook>;
  /** Newest request of each grantee and bound that waits for the lease. */
  readonly waiting: Map<string, WaitingRequest>;
}

/** A request for a grant that waits until this node has the lease or the grant to answer it. */
export interface WaitingRequest {
  readonly from: NodeId;
  readonly request: GrantRequest;
}

/** This node as the divider of a grant among a zone or a group of nodes. */
export interface GrantDivider extends Grantee {
  readonly book: LimitBook;
  lastRequestAt: number;
  /** Newest request of each grantee that waits for the divider's grant. */
  readonly waiting: Map<string, WaitingRequest>;
}

/** A keeper's last vote on the lease of a row. */
export interface LeaseRecord {
  candidate: string;
  sequence: number;
  until: number;
  /** Whether this process has voted for a single candidate only. */
  first: boolean;
}

/** Cache of a row's holder and dividers by rendezvous hashing, for one version of the view. */
export interface CachedHolder {
  readonly viewVersion: number;
  readonly holder: NodeId;
  /** Nodes from which this node requests grants for itself, its group and its zone; filled on demand. */
  readonly asked: Map<GrantRequester, GrantHolder>;
}

/** Levels at which this node's zone requests grants, for one version of the view. */
export interface ZoneLevels {
  readonly viewVersion: number;
  /** Level from which a node requests grants for itself. */
  readonly first: GrantLevel;
  readonly zoneMembers: readonly NodeId[];
  /** Members of this node's group. */
  readonly groupMembers: readonly NodeId[];
  readonly group: number;
}

/** Cache of the rows with limits in one configuration in force. */
export interface LimitedRows {
  readonly rows: ReadonlyMap<string, RouteRow>;
  readonly limited: readonly RouteRow[];
}

/** Grants used, grants given and votes cast by this node. */
export interface AdmissionState {
  /** Sequence number of the last message; starts above those of earlier processes of this node. */
  sequence: number;
  /** Uses by row and bound; see `limitName`. */
  readonly uses: Map<string, LimitUse>;
  readonly tenures: Map<string, Tenure>;
  /** Dividers by `dividerName`. */
  readonly dividers: Map<string, GrantDivider>;
  readonly votes: Map<string, LeaseRecord>;
  readonly holders: Map<string, CachedHolder>;
  zoneLevels: ZoneLevels | undefined;
  /** See `MAX_REQUESTERS`. */
  maxRequesters: number;
  limitedRows: LimitedRows;
}

/** Creates the state of a node without grants. */
export const createAdmissionState = (): AdmissionState => ({
  sequence: 0,
  uses: new Map(),
  tenures: new Map(),
  dividers: new Map(),
  votes: new Map(),
  holders: new Map(),
  zoneLevels: undefined,
  maxRequesters: MAX_REQUESTERS,
  limitedRows: { rows: new Map(), limited: [] },
});

/** Returns the key of a limit. */
export const limitName = (limit: LimitKey): string => `${limit.row}|${limit.bound}`;

/** Returns the key of a divider. */
export const dividerName = (limit: LimitKey, asker: GrantRequester): string =>
  `${limitName(limit)}|${asker}`;

/**
 * Returns the key of a grantee's slice in a holder's book. Each process of a divider has its own slice,
 * because grants of an earlier process may still be in use at other nodes. A node's own use ends with
 * its process, so the node has a single slice.
 */
export const sliceName = (from: NodeId, asker: GrantRequester, process: number): string =>
  asker === 'node' ? from : `${from}|${asker}|${process}`;
