/** The collections of the store that a gateway follows, and the calls that it makes to the store. */

import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayBounds } from '../settings.js';

/**
 * `configuration` has one object; `replicas` has one for each live incarnation; `gateways` has one for
 * each gateway, written by that gateway; `evacuations` has one for each zone whose replicas get no requests.
 */
export type CollectionName = 'configuration' | 'replicas' | 'gateways' | 'evacuations';

const ALWAYS_FOLLOWED: readonly CollectionName[] = ['configuration', 'replicas', 'gateways'];

/** The collections to follow. Evacuations are followed only if the settings give a bound for them. */
export const followedCollections = ({ evacuationMs }: GatewayBounds): readonly CollectionName[] =>
  evacuationMs === undefined ? ALWAYS_FOLLOWED : [...ALWAYS_FOLLOWED, 'evacuations'];

/** Reads one page of the list of all objects, beginning after the name `after`. */
export interface ListCall {
  readonly type: 'list';
  readonly collection: CollectionName;
  readonly after?: string;
  /** Allows a copy of the store that may be seconds old, at a tenth of the price. */
  readonly stale: boolean;
  readonly timeoutMs: number;
}

/** Waits for changes after `revision`, for at most `waitMs` milliseconds. */
export interface WatchCall {
  readonly type: 'watch';
  readonly collection: CollectionName;
  readonly revision: number;
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/**
 * Checks whether the store is reachable. It requests an almost empty page and allows a stale copy, which costs a tenth of
 * the price.
 */
export interface ProbeCall {
  readonly type: 'probe';
  readonly timeoutMs: number;
}

/**
 * Reads the current version of the configuration to confirm that the API keys known here are valid. It allows no stale
 * copy, and it also serves as a probe.
 */
export interface ConfirmCall {
  readonly type: 'confirm';
  readonly timeoutMs: number;
}

/** Writes this gateway's entry in the collection `gateways`. */
export interface RegisterCall {
  readonly type: 'register';
  readonly record: PeerRecord;
  /** The store already has an entry of that name. */
  readonly replace: boolean;
  readonly timeoutMs: number;
}

/** A call that lists or watches a collection. */
export type CollectionCall = ListCall | WatchCall;

/** A call to the store. */
export type StoreCall = CollectionCall | ProbeCall | ConfirmCall | RegisterCall;
