/** State of requests that are not safe to repeat. */
import type { NodeId, PartnerId, RequestId } from '../identifiers.js';
import type { KeeperSet } from '../keepers/choose-keepers.js';

/** A claim this node has asked for, from the first message until the request has ended. */
export interface OwnClaim {
  readonly request: RequestId;
  readonly partner: PartnerId;
  readonly idempotencyKey: string;
  readonly keepers: KeeperSet;
  /** Keepers that have granted the claim, and those that have refused it for good. */
  readonly granted: Set<NodeId>;
  readonly refused: Set<NodeId>;
  /** `asking` until a majority has spoken or time has run out. */
  phase: 'asking' | 'granted';
  resends: number;
}

/** Claims this node asks for and claims it keeps. */
export interface OnceState {
  readonly ownClaims: Map<RequestId, OwnClaim>;
  /** By period, then partner and key: the request that has the claim. */
  readonly kept: Map<number, Map<string, RequestId>>;
  keptCount: number;
  /** Claims of this period and earlier ones are forgotten and never granted again. */
  closedThrough: number;
}

/** Creates the state of a node that knows of no claim. */
export const createOnceState = (): OnceState => ({
  ownClaims: new Map(),
  kept: new Map(),
  keptCount: 0,
  closedThrough: -1,
});
