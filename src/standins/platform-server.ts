/** Platform stand-in over HTTP: serves a `StoreModel` through the platform's object API. */
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings, type ServerType } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import type { Machine, StoreContent, StoreObject } from '../catalog/store-object.js';
import type { MachineGone } from './store-model/machine-list.js';
import type { StoreFaultChange } from './store-model/store-faults.js';
import { StoreModel } from './store-model/store-model.js';

/** Interval between the bookmarks of a watch, in milliseconds. */
const BOOKMARK_INTERVAL_MS = 5_000;

/** Options of a platform server. */
export interface PlatformServerOptions {
  readonly host: string;
  /** 0 lets the kernel choose a free port. */
  readonly port: number;
  readonly objects: readonly StoreObject[];
  readonly seed: number;
}

interface WriteBody {
  readonly expectedVersion: number;
  readonly content: StoreContent;
}

type PlatformContext = Context<{ Bindings: HttpBindings }>;

/** An open watch. */
interface Watcher {
  after: number;
  readonly send: (line: string) => void;
  readonly end: () => void;
}

const wait = async (ms: number): Promise<void> => {
  if (ms > 0) {
    await new Promise((resolve) => setTimeout(resolve, ms));
  }
};

const dropConnection = (incoming: IncomingMessage): Response => {
  incoming.socket.destroy();
  return new Response(null, { status: 500 });
};

const revisionAfter = (context: PlatformContext): number => Number(context.req.query('after') ?? 0);

/** Serves the platform's API on one port. */
export class PlatformServer {
  readonly model: StoreModel;
  private readonly server: ServerType;
  private readonly watchers = new Set<Watcher>();
  private readonly bookmarks: NodeJS.Timeout;

  constructor(private readonly options: PlatformServerOptions) {
    this.model = new StoreModel({ objects: options.objects, seed: options.seed });
    this.server = createAdaptorServer({ fetch: this.buildRoutes().fetch });
    this.bookmarks = setInterval(() => this.sendBookmarks(), BOOKMARK_INTERVAL_MS);
  }

  /** Opens the port and resolves to its number; rejects if the port cannot be opened. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => resolve());
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of open watches. */
  get watchCount(): number {
    return this.watchers.size;
  }

  /** Changes some of the faults; watches end when the store goes down. */
  setFaults(change: StoreFaultChange): void {
    this.model.setFaults(change);
    if (this.model.currentFaults.down) {
      this.endWatches();
    } else if (change.rollBackTo !== undefined) {
      this.sendBookmarks();
    }
  }

  /** Writes an object on behalf of the platform, ignoring the faults; returns its revision. */
  publish(name: string, content: StoreContent): number {
    const version = this.model.read(name)?.version ?? 0;
    this.model.write(name, version, content);
    this.sendChanges();
    return this.model.revision;
  }

  /** Ends all watches and closes the port and all connections. */
  async close(): Promise<void> {
    clearInterval(this.bookmarks);
    this.endWatches();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      if ('closeAllConnections' in this.server) {
        this.server.closeAllConnections();
      }
    });
  }

  private buildRoutes(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.get('/v1/faults', (context) => context.json(this.model.currentFaults));
    app.post('/v1/faults', async (context) => {
      this.setFaults(await context.req.json<StoreFaultChange>());
      return context.body(null, 204);
    });
    app.use('*', async (context, next) => {
      await wait(this.model.currentFaults.delayMs);
      if (this.model.currentFaults.down) {
        return dropConnection(context.env.incoming);
      }
      return next();
    });
    app.get('/v1/objects', (context) => {
      const objects = this.model.readAll(revisionAfter(context));
      return context.json({ revision: this.model.revision, objects });
    });
    app.get('/v1/objects/:name', (context) => {
      const object = this.model.read(context.req.param('name'));
      return object === undefined ? context.notFound() : context.json(object);
    });
    app.put('/v1/objects/:name', (context) => this.write(context, context.req.param('name')));
    app.get('/v1/watch', (context) => this.watch(context));
    app.get('/v1/machines', (context) =>
      context.json({ machines: this.model.machines(performance.now()) }),
    );
    app.post('/v1/machines', async (context) => {
      const change = await context.req.json<Machine | MachineGone>();
      this.model.changeMachine(performance.now(), change);
      return context.body(null, 204);
    });
    return app;
  }

  private async write(context: PlatformContext, name: string): Promise<Response> {
    const body = await context.req.json<WriteBody>();
    const outcome = this.model.write(name, body.expectedVersion, body.content);
    if (outcome.type === 'refused') {
      return context.json({ version: outcome.version }, 409);
    }
    this.sendChanges();
    if (outcome.answerLost) {
      return dropConnection(context.env.incoming);
    }
    return context.json({ version: outcome.version, revision: outcome.revision });
  }

  private watch(context: PlatformContext): Response {
    const after = revisionAfter(context);
    if (this.model.changesAfter(after).type === 'gone') {
      return new Response(null, { status: 410 });
    }
    const encoder = new TextEncoder();
    let watcher: Watcher | undefined;
    const stream = new ReadableStream<Uint8Array>({
      start: (controller) => {
        watcher = {
          after,
          send: (line) => controller.enqueue(encoder.encode(`${line}\n`)),
          end: () => context.env.incoming.socket.destroy(),
        };
        this.watchers.add(watcher);
        this.sendTo(watcher);
      },
      cancel: () => {
        if (watcher !== undefined) {
          this.watchers.delete(watcher);
        }
      },
    });
    return new Response(stream, { headers: { 'content-type': 'application/x-ndjson' } });
  }

  private sendTo(watcher: Watcher): void {
    const changes = this.model.changesAfter(watcher.after);
    if (changes.type === 'gone') {
      this.endWatch(watcher);
      return;
    }
    const { after, through, objects } = changes;
    watcher.send(JSON.stringify({ after, through, objects }));
    watcher.after = Math.max(after, through);
  }

  private sendChanges(): void {
    for (const watcher of this.watchers) {
      if (watcher.after < this.model.revision) {
        this.sendTo(watcher);
      }
    }
  }

  private sendBookmarks(): void {
    for (const watcher of this.watchers) {
      this.sendTo(watcher);
    }
  }

  private endWatch(watcher: Watcher): void {
    this.watchers.delete(watcher);
    watcher.end();
  }

  private endWatches(): void {
    for (const watcher of this.watchers) {
      this.endWatch(watcher);
    }
  }
}
