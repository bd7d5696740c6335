/** Messages that divide cluster-wide limits among nodes, sent over TCP. */

/** The quantity that a limit bounds: concurrent queries, or queries per second. */
export type LimitBound = 'concurrent' | 'per-second';

/** Identifies a limit by its row, `partner/route/kind`, and the bounded quantity. */
export interface LimitKey {
  readonly row: string;
  readonly bound: LimitBound;
}

/** The requester of a grant: a node for itself, or for the group or zone whose nodes share the grant. */
export type GrantRequester = 'node' | 'group' | 'zone';

/** The role in which a node receives a request: holder of the row, or divider of its own grant. */
export type GrantLevel = 'group' | 'zone' | 'row';

/** Fields of every message from a grantee. */
interface GranteeMessage {
  readonly limit: LimitKey;
  readonly asker: GrantRequester;
  readonly asked: GrantLevel;
  /** Incarnation of the requesting process; grantees may still use what an earlier one was granted. */
  readonly process: number;
  /** Increases with each message of the node, also across its restarts. */
  readonly sequence: number;
}

/** Grantee to holder: its demand and its current grant. */
export interface GrantRequest extends GranteeMessage {
  readonly type: 'grant-request';
  /** Concurrent queries, or queries per second, that the grantee could use. */
  readonly demand: number;
  /**
   * Amount that may be in use regardless of the answer: the queries in progress of a node (0 for a
   * limit per second), or the total that the grantees of the requester may be using.
   */
  readonly used: number;
  /** Amount of a valid grant by the row's holder that the requester has; 0 for none. */
  readonly holds: number;
  /** Sequence of the request that this grant answered; 0 for none. */
  readonly heldSequence: number;
}

/** Grantee to holder: returns its grant; only queries that still run use it. */
export interface GrantReturn extends GranteeMessage {
  readonly type: 'grant-return';
  /** See `GrantRequest.used`. */
  readonly used: number;
}

/** Holder to grantee: a part of the limit, valid from the time the grantee sent the request. */
export interface Grant {
  readonly type: 'grant';
  readonly limit: LimitKey;
  /** Copied from the request. */
  readonly asker: GrantRequester;
  readonly amount: number;
  readonly sequence: number;
  /**
   * A new holder confirmed the grant that the request reported. Takes effect only while the grantee
   * still holds that grant.
   */
  readonly adopted: boolean;
  /** Validity in milliseconds since the request was sent, by the grantee's clock. */
  readonly validMs: number;
}

/** Candidate to keeper: requests a vote for the lease of a row's limits, or releases the lease. */
export interface LeaseRequest {
  readonly type: 'lease-request';
  readonly row: string;
  /** The candidate process: its node and its incarnation at start. */
  readonly candidate: string;
  readonly sequence: number;
  readonly release: boolean;
}

/** Keeper to candidate: if granted, the keeper votes for no other candidate while the lease runs. */
export interface LeaseVote {
  readonly type: 'lease-vote';
  readonly row: string;
  readonly sequence: number;
  readonly granted: boolean;
  /** True if the keeper's node has voted for no other candidate in the period of the roster. */
  readonly first: boolean;
}

/** Any message about grants and leases. */
export type GrantMessage = GrantRequest | GrantReturn | Grant | LeaseRequest | LeaseVote;
