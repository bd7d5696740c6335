/** Objects of the store's collections, as read from the store or received from a reader. */
import type { KeysHash } from '../tenants/keys-hash.js';
import type { Evacuation } from '../model/evacuation.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { GatewayConfiguration } from '../model/route.js';

/** Objects of one collection. */
export type StoreObjects =
  | {
      readonly collection: 'configuration';
      readonly objects: readonly Stored<GatewayConfiguration>[];
    }
  | { readonly collection: 'replicas'; readonly objects: readonly Stored<ReplicaRecord>[] }
  | { readonly collection: 'gateways'; readonly objects: readonly Stored<PeerRecord>[] }
  | { readonly collection: 'evacuations'; readonly objects: readonly Stored<Evacuation>[] };

/** An object of the store; `value` is absent if the object is gone or could not be decoded. */
export interface Stored<Value> {
  readonly name: string;
  readonly gone: boolean;
  readonly value?: Value;
  /** Why the object could not be decoded; absent if it could, or if a reader sent it. */
  readonly problem?: string;
}

/** One page of a list. */
export type StorePage = StoreObjects & {
  readonly more: boolean;
  /** Name of the last object of the page. */
  readonly last: string;
  /** Revision of the store at which the page was read. */
  readonly revision: number;
};

/** What a confirming read shows of the configuration. */
export interface ShownConfiguration {
  /** Version of the configuration; absent if the store has none or its version cannot be read. */
  readonly version?: number;
  /** Identifies the keys of its tenants; absent if it has none or cannot be read. */
  readonly keysHash?: KeysHash;
  /** Revision at which the object was last written; absent if the store does not give it. */
  readonly writtenAt?: number;
  /** Revision of the store at which it was read. */
  readonly revision: number;
}

/** Objects that have changed since the watched revision. */
export type StoreChanges = StoreObjects & {
  readonly revision: number;
  /** Revision at which the configuration was last written, if the last of the changes left it unreadable. */
  readonly unreadableSince?: number;
};
