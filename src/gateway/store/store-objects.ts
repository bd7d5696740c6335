/** Objects of the store's collections, as they are read from it and as readers tell them. */
import type { Evacuation } from '../model/evacuation.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { GatewayConfiguration } from '../model/route.js';

/** Objects of one collection, by their names. */
export type StoreObjects =
  | {
      readonly collection: 'configuration';
      readonly objects: readonly Stored<GatewayConfiguration>[];
    }
  | { readonly collection: 'replicas'; readonly objects: readonly Stored<ReplicaRecord>[] }
  | { readonly collection: 'gateways'; readonly objects: readonly Stored<PeerRecord>[] }
  | { readonly collection: 'evacuations'; readonly objects: readonly Stored<Evacuation>[] };

/** An object of the store; `value` is absent where it is gone or could not be read. */
export interface Stored<Value> {
  readonly name: string;
  readonly gone: boolean;
  readonly value?: Value;
  /** What could not be read of it; absent where nothing was wrong, or where a reader told it. */
  readonly problem?: string;
}

/** A page of a list. */
export type StorePage = StoreObjects & {
  readonly more: boolean;
  /** Name of the last object of the page. */
  readonly last: string;
  /** Revision of the store at which the list stands. */
  readonly revision: number;
};

/** What has changed since the watched revision. */
export type StoreChanges = StoreObjects & { readonly revision: number };
