/** A store in virtual time, with lists, watches and one revision counter for all collections. */
import type { Evacuation } from '../../src/gateway/model/evacuation.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import type { GatewayConfiguration, Route } from '../../src/gateway/model/route.js';
import type { CollectionName, ListCall, WatchCall } from '../../src/gateway/store/collection.js';
import type { StoreChanges, StorePage } from '../../src/gateway/store/store-objects.js';

const PAGE_SIZE = 50;

/** A configuration that gateways cannot read, apart from its version. */
interface UnreadableConfiguration {
  readonly version: number;
  readonly isUnreadable: true;
}

type Value =
  GatewayConfiguration | UnreadableConfiguration | ReplicaRecord | PeerRecord | Evacuation;

const isUnreadable = (value: Value | undefined): boolean =>
  value !== undefined && 'isUnreadable' in value;

/** The value as gateways read it: absent if it is unreadable. */
const readableValue = (value: Value | undefined): { readonly value?: Value } =>
  value === undefined || isUnreadable(value) ? {} : { value };

interface StoredEvent {
  readonly collection: CollectionName;
  readonly revision: number;
  readonly name: string;
  readonly value: Value | undefined;
}

/** A backup of the store's content and history. */
export interface StoreBackup {
  readonly revision: number;
  readonly objects: Readonly<Record<CollectionName, ReadonlyMap<string, Value>>>;
  readonly history: readonly StoredEvent[];
  readonly written: ReadonlyMap<string, number>;
}

/** Returns a configuration with the given routes. */
export const configurationOf = (
  version: number,
  routes: readonly Route[] = [],
): GatewayConfiguration => ({
  version,
  routes,
  services: new Map([['s0', { name: 's0', maxConnections: 8 }]]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

/** Returns the entry of a replica of `s0`. */
export const replicaOf = (id: string, draining = false): ReplicaRecord => ({
  id,
  service: 's0',
  host: '127.0.0.1',
  port: 1,
  zone: 'bole',
  slots: 2,
  draining,
  coldMs: 0,
});

/** The objects of the store and the history of their changes. */
export class VirtualStore {
  revision = 0;
  /** Era given in all answers; rises with each restoration from a backup. Undefined if answers give none. */
  era: number | undefined;
  /** Changes up to this revision are discarded; a watch from an earlier revision is answered with `history-gone`. */
  discardedUpTo = 0;
  private objects: Record<CollectionName, Map<string, Value>> = {
    configuration: new Map(),
    replicas: new Map(),
    gateways: new Map(),
    evacuations: new Map(),
  };
  private history: StoredEvent[] = [];
  /** Revision at which each object was last written, by collection and name. */
  private written = new Map<string, number>();

  put(collection: CollectionName, name: string, value: Value | undefined): void {
    this.revision += 1;
    this.written.set(`${collection}/${name}`, this.revision);
    this.history.push({ collection, revision: this.revision, name, value });
    if (value === undefined) {
      this.objects[collection].delete(name);
    } else {
      this.objects[collection].set(name, value);
    }
  }

  /** Discards the history; waiting watches are answered only when something changes. */
  discardHistory(): void {
    this.discardedUpTo = this.revision;
    this.history = [];
  }

  /** Whether the changes since a watch's revision are discarded, or the revision was never assigned. */
  isHistoryDiscarded({ revision }: WatchCall): boolean {
    return revision < this.discardedUpTo || revision > this.revision;
  }

  backup(): StoreBackup {
    const { revision, objects, history, written } = this;
    return {
      revision,
      written: new Map(written),
      history: [...history],
      objects: {
        configuration: new Map(objects.configuration),
        replicas: new Map(objects.replicas),
        gateways: new Map(objects.gateways),
        evacuations: new Map(objects.evacuations),
      },
    };
  }

  /** Restores a backup in a new era. Later changes are lost, and their revisions are assigned again. */
  restore({ revision, objects, history, written }: StoreBackup): void {
    this.revision = revision;
    this.written = new Map(written);
    this.era = (this.era ?? 0) + 1;
    this.history = [...history];
    const collections = Object.keys(objects) as CollectionName[];
    for (const collection of collections) {
      this.objects[collection] = new Map(objects[collection]);
    }
  }

  /** Revision at which an object was last written. */
  writtenAt(collection: CollectionName, name: string): number | undefined {
    return this.written.get(`${collection}/${name}`);
  }

  has(collection: CollectionName, name: string): boolean {
    return this.objects[collection].has(name);
  }

  find(collection: CollectionName, name: string): Value | undefined {
    return this.objects[collection].get(name);
  }

  names(collection: CollectionName): readonly string[] {
    return [...this.objects[collection].keys()].sort();
  }

  list({ collection, after = '' }: ListCall): StorePage {
    const names = this.names(collection).filter((name) => name > after);
    const page = names.slice(0, PAGE_SIZE);
    const objects = page.map((name) => ({
      name,
      gone: false,
      ...readableValue(this.objects[collection].get(name)),
    }));
    return {
      collection,
      objects,
      more: names.length > PAGE_SIZE,
      last: page.at(-1) ?? '',
      revision: this.revision,
    } as StorePage;
  }

  /** Returns the changes for a watch; undefined if there are none. */
  changes({ collection, revision }: WatchCall): StoreChanges | undefined {
    const events = this.history.filter(
      (event) => event.collection === collection && event.revision > revision,
    );
    if (events.length === 0) {
      return undefined;
    }
    const objects = events.map(({ name, value }) => ({
      name,
      gone: value === undefined,
      ...readableValue(value),
    }));
    const unreadableSince = isUnreadable(events.at(-1)?.value)
      ? { unreadableSince: events.at(-1)?.revision }
      : {};
    return { collection, objects, revision: this.revision, ...unreadableSince } as StoreChanges;
  }

  /** Returns the answer to a watch whose wait is over. */
  noChanges({ collection }: WatchCall): StoreChanges {
    return { collection, objects: [], revision: this.revision } as StoreChanges;
  }
}
