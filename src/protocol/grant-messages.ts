/** Messages about limits that hold over all nodes together. Carried over TCP. */

/** What a limit bounds. */
export type LimitBound = 'concurrent' | 'per-second';

/** Names a limit: `partner/route/kind` and what is bounded. */
export interface LimitKey {
  readonly row: string;
  readonly bound: LimitBound;
}

/** For whom a node asks: for itself, or for those it divides a grant among. */
export type GrantRequester = 'node' | 'group' | 'zone';

/** As what a node is asked: as the row's holder, or as one that divides a grant of its own. */
export type GrantLevel = 'group' | 'zone' | 'row';

/** What every message from a grantee names. */
interface GranteeMessage {
  readonly limit: LimitKey;
  readonly asker: GrantRequester;
  readonly asked: GrantLevel;
  /** Incarnation of the asking process; what an earlier one was given may still be in use below it. */
  readonly process: number;
  /** Grows with each message of the node, also over its restarts. */
  readonly sequence: number;
}

/** Grantee to holder: what it could use, and what it has. */
export interface GrantRequest extends GranteeMessage {
  readonly type: 'grant-request';
  /** Queries at once, or a second, that the grantee could use. */
  readonly demand: number;
  /**
   * What may be in use whatever the answer: a node's queries in progress (0 for a limit per second),
   * or all that those who share the asker's grant may be using.
   */
  readonly used: number;
  /** Amount of a grant of a row's holder that the asker has and may still use; 0 for none. */
  readonly holds: number;
  /** Sequence of the request that was answered with that grant; 0 for none. */
  readonly heldSequence: number;
}

/** Grantee to holder: it uses no grant of that holder from now on, but for what still runs. */
export interface GrantReturn extends GranteeMessage {
  readonly type: 'grant-return';
  /** As in a request. */
  readonly used: number;
}

/** Holder to grantee: a slice of the limit, valid from when the grantee sent the request. */
export interface Grant {
  readonly type: 'grant';
  readonly limit: LimitKey;
  /** As in the request. */
  readonly asker: GrantRequester;
  readonly amount: number;
  readonly sequence: number;
  /** Given again by a new holder on the node's word: takes effect only while the node still holds it. */
  readonly adopted: boolean;
  /** Milliseconds from the sending of the request, on the grantee's own clock. */
  readonly validMs: number;
}

/** Candidate to keeper: a vote on the lease of a row's limits, or the release of one. */
export interface LeaseRequest {
  readonly type: 'lease-request';
  readonly row: string;
  /** The candidate's process: node and incarnation at its start. */
  readonly candidate: string;
  readonly sequence: number;
  readonly release: boolean;
}

/** Keeper to candidate: no other candidate gets this keeper's vote while the lease runs. */
export interface LeaseVote {
  readonly type: 'lease-vote';
  readonly row: string;
  readonly sequence: number;
  readonly granted: boolean;
  /** The keeper's node has never voted for another candidate in the period of the roster. */
  readonly first: boolean;
}

/** All messages about grants. */
export type GrantMessage = GrantRequest | GrantReturn | Grant | LeaseRequest | LeaseVote;
