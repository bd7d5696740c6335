/** Models the operator and the replicas as writers, which rewrite the objects that a restored backup lacks. */
import type { Random } from '../../src/core/random.js';
import type { CollectionName } from '../../src/gateway/store/collection.js';
import type { ReaderNetwork } from './reader-network.js';
import type { StoreBackup, VirtualStore } from './virtual-store.js';

type Value = Parameters<VirtualStore['put']>[2];

/** Time within which the operator and the replicas rewrite their objects, in milliseconds. */
const REWRITE_MS = 2_000;

/** Time after which the restored entry of a replica that has left expires, in milliseconds. */
const EXPIRY_MS = 3_600;

const WRITTEN_COLLECTIONS = ['configuration', 'replicas', 'evacuations'] as const;

/** Writes objects and records the intended content of the store. */
export class StoreWriters {
  private readonly intended: Record<(typeof WRITTEN_COLLECTIONS)[number], Map<string, Value>> = {
    configuration: new Map(),
    replicas: new Map(),
    evacuations: new Map(),
  };

  constructor(private readonly network: ReaderNetwork) {}

  put(collection: CollectionName, name: string, value: Value): void {
    if (collection !== 'gateways') {
      this.intended[collection].set(name, value);
    }
    this.network.put(collection, name, value);
  }

  /** Restores the store from a backup immediately, and rewrites each object at a random time within `withinMs`. */
  restoreStore(backup: StoreBackup, random: Random, withinMs = REWRITE_MS): void {
    const { network } = this;
    network.restoreStore(backup);
    network.setStoreDown(false);
    for (const collection of WRITTEN_COLLECTIONS) {
      const names = new Set([
        ...this.intended[collection].keys(),
        ...network.store.names(collection),
      ]);
      for (const name of names) {
        network.after(random.next() * withinMs, () => this.rewrite(collection, name));
      }
    }
  }

  private rewrite(collection: (typeof WRITTEN_COLLECTIONS)[number], name: string): void {
    const value = this.intended[collection].get(name);
    if (value !== undefined) {
      this.putIfChanged(collection, name, value);
    } else if (collection === 'replicas') {
      this.network.after(EXPIRY_MS, () => this.putIfChanged(collection, name, undefined));
    } else {
      this.putIfChanged(collection, name, undefined);
    }
  }

  /** Writes an object only if its content changes, so that the revision does not rise otherwise. */
  private putIfChanged(collection: CollectionName, name: string, value: Value): void {
    const { store } = this.network;
    const isSame = JSON.stringify(store.find(collection, name)) === JSON.stringify(value);
    const isIntended = collection === 'replicas' && this.intended.replicas.get(name) !== undefined;
    if (!isSame && !(value === undefined && isIntended)) {
      this.network.put(collection, name, value);
    }
  }
}
