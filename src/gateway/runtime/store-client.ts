/** Calls the store: one connection for each collection, so that a watch holds up nothing else. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import { formatHostPort } from '../../settings/parse-host-port.js';
import type { StoreCallFailed } from '../event.js';
import { formatFinding } from '../../table/finding.js';
import type { StoreFormat } from '../protocol/protocol.js';
import type { CollectionName, StoreCall } from '../store/collection.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { readText } from './read-text.js';
import { openConnection } from './sockets.js';
import { Client } from './undici-client.js';

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 800;

/** Time an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 10_000;

const OK_STATUS = 200;
const GONE_STATUS = 410;
const THROTTLED_STATUS = 429;

/** What the client needs of its process. */
export interface StoreClientContext {
  readonly address: HostPort;
  readonly format: StoreFormat;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

const problemOf = (status: number): StoreCallFailed['problem'] => {
  if (status === GONE_STATUS) {
    return 'history-gone';
  }
  return status === THROTTLED_STATUS ? 'throttled' : 'unavailable';
};

/** Carries out `call-store`; emits `page-read`, `changes-read` or `store-call-failed`. */
export class StoreClient {
  private readonly clients = new Map<CollectionName, Client>();
  private closed = false;

  constructor(private readonly context: StoreClientContext) {}

  call(call: StoreCall): void {
    void this.run(call);
  }

  destroy(): void {
    this.closed = true;
    this.clients.forEach((client) => void client.destroy().catch(() => undefined));
  }

  private async run(call: StoreCall): Promise<void> {
    const client = this.clientOf(call.collection);
    try {
      const path = this.context.format.pathOf(call);
      const answer = await readText(client, path, call.timeoutMs);
      this.take(call, answer.status, answer.body);
    } catch (error) {
      this.dropClient(call.collection, client);
      this.fail(call, 'no-answer', String(error));
    }
  }

  private take(call: StoreCall, status: number, body: string): void {
    const { format, sink, clock } = this.context;
    if (this.closed) {
      return;
    }
    if (status !== OK_STATUS) {
      this.fail(call, problemOf(status), `status ${status}`);
      return;
    }
    const at = clock.now();
    if (call.type === 'list') {
      format.readPage(call, body).caseOf({
        Left: (findings) => this.fail(call, 'malformed', findings.map(formatFinding).join('; ')),
        Right: (page) => sink.emit({ type: 'page-read', at, page }),
      });
      return;
    }
    format.readChanges(call, body).caseOf({
      Left: (findings) => this.fail(call, 'malformed', findings.map(formatFinding).join('; ')),
      Right: (changes) => sink.emit({ type: 'changes-read', at, changes }),
    });
  }

  private fail(
    { collection }: StoreCall,
    problem: StoreCallFailed['problem'],
    detail: string,
  ): void {
    if (!this.closed) {
      const at = this.context.clock.now();
      this.context.sink.emit({ type: 'store-call-failed', at, collection, problem, detail });
    }
  }

  private clientOf(collection: CollectionName): Client {
    const known = this.clients.get(collection);
    if (known !== undefined) {
      return known;
    }
    const { address } = this.context;
    const client = new Client(`http://${formatHostPort(address)}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: (_options, callback) => {
        const socket = openConnection(address, CONNECT_TIMEOUT_MS, (error) =>
          error === null ? callback(null, socket) : callback(error, null),
        );
      },
    });
    this.clients.set(collection, client);
    return client;
  }

  /** A connection on which an answer is lost says nothing more: the next call opens another. */
  private dropClient(collection: CollectionName, client: Client): void {
    if (this.clients.get(collection) === client) {
      this.clients.delete(collection);
    }
    void client.destroy().catch(() => undefined);
  }
}
