/** A stand-in of the platform's store, written from its protocol page. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An object as the store keeps it. */
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

/** How the store treats calls. */
export type StoreMode = 'serving' | 'busy' | 'throttling' | 'silent' | 'resetting';

const PAGE_SIZE = 50;
const LIST_PATH = /^\/v1\/objects\/([^/?]+)$/;

/** A store with lists, watches and faults. */
export class StandInStore {
  mode: StoreMode = 'serving';
  /** Calls by kind and type, e.g. `servers watch`. */
  readonly calls: string[] = [];
  private readonly kinds = new Map<string, Map<string, StoredObject>>();
  private events: StoreEvent[] = [];
  private revision = 1;
  private forgottenBefore = 0;
  private readonly watchers = new Set<() => void>();

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(): Promise<StandInStore> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const store = new StandInStore(server, (server.address() as AddressInfo).port);
    server.on('request', (incoming, outgoing) => store.take(incoming, outgoing));
    return store;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Writes an object as the operator or a replica does. */
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

  /** Drops the history: watches from before hear 410. */
  forgetHistory(): void {
    this.revision += 1;
    this.forgottenBefore = this.revision;
    this.events = [];
    this.wake();
  }

  /** Breaks all connections. */
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

  private take(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const url = new URL(incoming.url ?? '/', 'http://store');
    const kind = LIST_PATH.exec(url.pathname)?.[1] ?? '';
    const watch = url.searchParams.get('watch');
    this.calls.push(`${kind} ${watch === null ? 'list' : 'watch'}`);
    if (this.mode === 'serving' && incoming.method === 'POST') {
      void this.create(kind, incoming, outgoing);
    } else if (this.mode !== 'serving') {
      this.misbehave(outgoing);
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
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    const { meta, spec } = JSON.parse(Buffer.concat(chunks).toString('utf8')) as StoredObject;
    if (this.objectsOf(kind).has(meta.name)) {
      outgoing.writeHead(409).end();
      return;
    }
    this.put(kind, meta.name, spec);
    this.send(outgoing, this.objectsOf(kind).get(meta.name));
  }

  private misbehave(outgoing: ServerResponse): void {
    switch (this.mode) {
      case 'busy':
        outgoing.writeHead(503).end();
        return;
      case 'throttling':
        outgoing.writeHead(429).end();
        return;
      case 'resetting':
        outgoing.socket?.resetAndDestroy();
        return;
      default:
    }
  }

  private list(kind: string, after: string, outgoing: ServerResponse): void {
    const names = [...this.objectsOf(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, PAGE_SIZE).map((name) => this.objectsOf(kind).get(name));
    this.send(outgoing, { items, more: names.length > PAGE_SIZE, at: this.revision });
  }

  private watch(kind: string, after: number, waitMs: number, outgoing: ServerResponse): void {
    const answer = (isOver: boolean): boolean => {
      if (after < this.forgottenBefore) {
        outgoing.writeHead(410).end();
        return true;
      }
      const events = this.events.filter((each) => each.kind === kind && each.revision > after);
      if (events.length > 0 || isOver) {
        const listed = events.map(({ object, gone }) => ({ object, gone }));
        this.send(outgoing, { events: listed, at: this.revision });
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
      answer(true);
      end();
    }, waitMs);
    const end = (): void => {
      clearTimeout(timer);
      this.watchers.delete(watcher);
    };
    outgoing.once('close', end);
    this.watchers.add(watcher);
  }

  private send(outgoing: ServerResponse, body: unknown): void {
    const text = JSON.stringify(body);
    outgoing.writeHead(200, { 'content-type': 'application/json' });
    outgoing.end(text);
  }
}
