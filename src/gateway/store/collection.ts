/** The collections of the store that a gateway follows, and the calls by which it does. */

import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayBounds } from '../settings.js';

/**
 * `configuration` has one object; `replicas` has one for each live incarnation; `gateways` has one for
 * each gateway, written by itself; `evacuations` has one for each zone whose replicas get no requests.
 */
export type CollectionName = 'configuration' | 'replicas' | 'gateways' | 'evacuations';

const ALWAYS_FOLLOWED: readonly CollectionName[] = ['configuration', 'replicas', 'gateways'];

/** The collections that are followed: zones are evacuated only where the settings give a bound for it. */
export const followedCollections = ({ evacuationMs }: GatewayBounds): readonly CollectionName[] =>
  evacuationMs === undefined ? ALWAYS_FOLLOWED : [...ALWAYS_FOLLOWED, 'evacuations'];

/** Reads a page of all objects, those after the name `after`. */
export interface ListCall {
  readonly type: 'list';
  readonly collection: CollectionName;
  readonly after?: string;
  /** From a copy that may be seconds old, at a tenth of the price. */
  readonly stale: boolean;
  readonly timeoutMs: number;
}

/** Waits for changes after `revision`, for `waitMs` at most. */
export interface WatchCall {
  readonly type: 'watch';
  readonly collection: CollectionName;
  readonly revision: number;
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/**
 * Asks for next to nothing, from a copy that may be old: at a tenth of the price, it tells whether
 * the store can be reached.
 */
export interface ProbeCall {
  readonly type: 'probe';
  readonly timeoutMs: number;
}

/** Writes this gateway's own entry among the gateways. */
export interface RegisterCall {
  readonly type: 'register';
  readonly record: PeerRecord;
  /** The store has an entry of that name. */
  readonly replace: boolean;
  readonly timeoutMs: number;
}

/** A call by which a collection is followed. */
export type CollectionCall = ListCall | WatchCall;

/** A call to the store. */
export type StoreCall = CollectionCall | ProbeCall | RegisterCall;
