/** The operator and the replicas as the store sees them: what a copy lacks they write again within seconds. */
import type { Random } from '../../src/core/random.js';
import type { CollectionName } from '../../src/gateway/store/collection.js';
import type { ReaderNetwork } from './reader-network.js';
import type { StoreBackup, VirtualStore } from './virtual-store.js';

type Value = Parameters<VirtualStore['put']>[2];

/** Within this time what operators and replicas wrote is written again, in milliseconds. */
const REWRITE_MS = 2_000;

/** An entry of a replica that has left and that a copy brings back lapses after this time, in milliseconds. */
const EXPIRY_MS = 3_600;

const WRITTEN_COLLECTIONS = ['configuration', 'replicas', 'evacuations'] as const;

/** Writes, and remembers what should stand in the store. */
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

  /** The store returns from the copy, at once; all is written again, each object at a time of its own. */
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

  /** What changes nothing raises no revision. */
  private putIfChanged(collection: CollectionName, name: string, value: Value): void {
    const { store } = this.network;
    const isSame = JSON.stringify(store.find(collection, name)) === JSON.stringify(value);
    const isIntended = collection === 'replicas' && this.intended.replicas.get(name) !== undefined;
    if (!isSame && !(value === undefined && isIntended)) {
      this.network.put(collection, name, value);
    }
  }
}
