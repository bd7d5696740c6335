/** State of requests that are not safe to repeat. */
import type { NodeId, PartnerId, RequestId } from '../identifiers.js';
import type { KeeperSet } from '../keepers/choose-keepers.js';

/** A claim that this node has requested, from the first message until its request has ended. */
export interface OwnClaim {
  readonly request: RequestId;
  readonly partner: PartnerId;
  readonly idempotencyKey: string;
  readonly keepers: KeeperSet;
  /** Keepers that have granted the claim, and keepers that have finally refused it. */
  readonly granted: Set<NodeId>;
  readonly refused: Set<NodeId>;
  /** `requested` until a majority has granted the claim; a refused claim is removed. */
  phase: 'requested' | 'granted';
  resends: number;
}

/** Claims that this node requests as coordinator and claims that it keeps as keeper. */
export interface OnceState {
  readonly ownClaims: Map<RequestId, OwnClaim>;
  /** The request that holds each claim, by period and then by partner and key. */
  readonly kept: Map<number, Map<string, RequestId>>;
  keptCount: number;
  /** Claims of this period and earlier ones are removed, and their keys are not granted again. */
  closedThrough: number;
}

/** Creates the state of a node without claims. */
export const createOnceState = (): OnceState => ({
  ownClaims: new Map(),
  kept: new Map(),
  keptCount: 0,
  closedThrough: -1,
});
