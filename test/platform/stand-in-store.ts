/** A stand-in for the platform's store, implemented from the description of its protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { encodeJson, RawJson } from './raw-json.js';

/** An object in the store's format. */
interface StoredObject {
  readonly meta: {
    readonly name: string;
    readonly revision: number;
    readonly created: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface StoreEvent {
  readonly revision: number;
  readonly kind: string;
  readonly object: StoredObject;
  readonly gone: boolean;
}

/** A backup of the store's content and history. */
export interface StoreBackup {
  readonly revision: number;
  readonly discardedBefore: number;
  readonly kinds: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly events: readonly StoreEvent[];
}

/** How the store handles calls. `losing`: it executes them and never answers. */
export type StoreMode = 'serving' | 'busy' | 'throttling' | 'silent' | 'resetting' | 'losing';

/** Maximum number of objects of a page, and their size in bytes after which a page ends. */
const PAGE_SIZE = 50;
const PAGE_BYTES = 1_000_000;

const OBJECTS_PATH = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?$/;

/** Reads the object in the body of a call; undefined if the connection closes first. */
const readObject = async (incoming: IncomingMessage): Promise<StoredObject | undefined> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as StoredObject;
};

/** A store with lists, watches and faults. */
export class StandInStore {
  mode: StoreMode = 'serving';
  /** Delay of the answers to watches, in milliseconds. */
  watchDelayMs = 0;
  /** Watches get no answer, not even when their wait is over. */
  private watchesMuted = false;
  /** Calls by kind and type, e.g. `servers watch`. */
  readonly calls: string[] = [];
  /** Era given in all answers; rises with each restoration from a backup. Undefined if answers give none. */
  era: number | undefined;
  private kinds = new Map<string, Map<string, StoredObject>>();
  private events: StoreEvent[] = [];
  private revision = 1;
  private discardedBefore = 0;
  private readonly watchers = new Set<() => void>();

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(): Promise<StandInStore> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const store = new StandInStore(server, (server.address() as AddressInfo).port);
    server.on('request', (incoming, outgoing) => store.handleRequest(incoming, outgoing));
    return store;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Writes an object, as the operator or a replica does. */
  put(kind: string, name: string, spec: unknown): void {
    this.revision += 1;
    const meta = { name, revision: this.revision, created: 1, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    this.objectsOf(kind).set(name, object);
    this.append({ revision: this.revision, kind, object, gone: false });
  }

  remove(kind: string, name: string): void {
    const object = this.objectsOf(kind).get(name);
    if (object !== undefined) {
      this.revision += 1;
      this.objectsOf(kind).delete(name);
      this.append({ revision: this.revision, kind, object, gone: true });
    }
  }

  /** Discards the history: watches from earlier revisions are answered with 410. */
  discardHistory(): void {
    this.revision += 1;
    this.discardedBefore = this.revision;
    this.events = [];
    this.wake();
  }

  backup(): StoreBackup {
    const { revision, discardedBefore, events } = this;
    const kinds = [...this.kinds].map(([kind, objects]) => [kind, new Map(objects)] as const);
    return {
      revision,
      discardedBefore,
      events: [...events],
      kinds: new Map(kinds),
    };
  }

  /** Restores a backup in a new era. Later changes are lost, and their revisions are assigned again. */
  restore({ revision, discardedBefore, events, kinds }: StoreBackup): void {
    this.era = (this.era ?? 0) + 1;
    this.revision = revision;
    this.discardedBefore = discardedBefore;
    this.events = [...events];
    this.kinds = new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.wake();
  }

  /** Names of the objects of a kind. */
  names(kind: string): readonly string[] {
    return [...this.objectsOf(kind).keys()];
  }

  /** Suppresses or enables answers to watches; waiting watches are checked again when answers are enabled. */
  muteWatches(muted: boolean): void {
    this.watchesMuted = muted;
    if (!muted) {
      this.wake();
    }
  }

  /** Closes all connections. */
  cutConnections(): void {
    this.server.closeAllConnections();
  }

  private objectsOf(kind: string): Map<string, StoredObject> {
    const known = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, known);
    return known;
  }

  private append(event: StoreEvent): void {
    this.events.push(event);
    this.wake();
  }

  private wake(): void {
    [...this.watchers].forEach((watcher) => watcher());
  }

  private handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const [, kind = '', name] = OBJECTS_PATH.exec(url.pathname) ?? [];
    const watch = url.searchParams.get('watch');
    this.calls.push(`${kind} ${watch === null ? 'list' : 'watch'}`);
    const isServing = this.mode === 'serving' || this.mode === 'losing';
    if (isServing && incoming.method === 'POST') {
      void this.create(kind, incoming, outgoing);
    } else if (isServing && incoming.method === 'PUT' && name !== undefined) {
      void this.replace(kind, name, incoming, outgoing);
    } else if (!isServing) {
      this.injectFault(outgoing);
    } else if (watch === null) {
      this.list(kind, url.searchParams.get('after') ?? '', outgoing);
    } else {
      this.watch(kind, Number(watch), Number(url.searchParams.get('wait_ms')), outgoing);
    }
  }

  private async create(
    kind: string,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const sent = await readObject(incoming);
    if (sent === undefined) {
      return;
    }
    const { meta, spec } = sent;
    if (this.objectsOf(kind).has(meta.name)) {
      this.answer(outgoing, 409);
      return;
    }
    this.put(kind, meta.name, spec);
    this.send(outgoing, this.objectsOf(kind).get(meta.name));
  }

  private async replace(
    kind: string,
    name: string,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const sent = await readObject(incoming);
    if (sent === undefined) {
      return;
    }
    if (!this.objectsOf(kind).has(name)) {
      this.answer(outgoing, 404);
      return;
    }
    this.put(kind, name, sent.spec);
    this.send(outgoing, this.objectsOf(kind).get(name));
  }

  private injectFault(outgoing: ServerResponse): void {
    switch (this.mode) {
      case 'busy':
        this.answer(outgoing, 503);
        return;
      case 'throttling':
        this.answer(outgoing, 429);
        return;
      case 'resetting':
        outgoing.socket?.resetAndDestroy();
        return;
      default:
    }
  }

  private list(kind: string, after: string, outgoing: ServerResponse): void {
    const names = [...this.objectsOf(kind).keys()].sort().filter((name) => name > after);
    const items: string[] = [];
    let bytes = 0;
    for (const name of names.slice(0, PAGE_SIZE)) {
      const item = encodeJson(this.objectsOf(kind).get(name));
      bytes += item.length;
      if (items.length > 0 && bytes > PAGE_BYTES) {
        break;
      }
      items.push(item);
    }
    const page = { items: new RawJson(`[${items.join(',')}]`), more: names.length > items.length };
    this.send(outgoing, { ...page, at: this.revision });
  }

  private watch(kind: string, after: number, waitMs: number, outgoing: ServerResponse): void {
    const answer = (isOver: boolean): boolean => {
      if (this.watchesMuted) {
        return false;
      }
      if (after < this.discardedBefore || after > this.revision) {
        this.answer(outgoing, 410);
        return true;
      }
      const events = this.events.filter((each) => each.kind === kind && each.revision > after);
      if (events.length > 0 || isOver) {
        const listed = events.map(({ object, gone }) => ({ object, gone }));
        const changes = { events: listed, at: this.revision };
        this.sendLate(outgoing, changes);
        return true;
      }
      return false;
    };
    if (answer(false)) {
      return;
    }
    const watcher = (): void => {
      if (answer(false)) {
        end();
      }
    };
    const timer = setTimeout(() => {
      if (answer(true)) {
        end();
      }
    }, waitMs);
    const end = (): void => {
      clearTimeout(timer);
      this.watchers.delete(watcher);
    };
    outgoing.once('close', end);
    this.watchers.add(watcher);
  }

  private sendLate(outgoing: ServerResponse, body: unknown): void {
    if (this.watchDelayMs === 0) {
      this.send(outgoing, body);
      return;
    }
    setTimeout(() => this.send(outgoing, body), this.watchDelayMs);
  }

  private send(outgoing: ServerResponse, body: unknown): void {
    if (this.mode === 'losing' || outgoing.destroyed) {
      return;
    }
    this.answer(outgoing, 200, encodeJson(body));
  }

  private answer(outgoing: ServerResponse, status: number, body = ''): void {
    const { era } = this;
    outgoing.writeHead(status, {
      'content-type': 'application/json',
      ...(era !== undefined && { 'store-era': String(era) }),
    });
    outgoing.end(body);
  }
}
