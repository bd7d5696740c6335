/** A stand-in for the platform's replicas, implemented from the description of its protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type EndlessAnswer, sendWithoutEnd } from './endless-answer.js';
import { failQuickly, type QuickFailure } from './quick-failure.js';

/** Header limit far above what tests send, since the gateway is the one to enforce limits. */
const MAX_HEADER_BYTES = 1_048_576;

/** How a replica handles requests. */
export interface ReplicaBehaviour {
  /** Processing time of a request, in milliseconds. */
  workMs: number;
  /** Number of concurrent requests; further ones are refused. */
  slots: number;
  /** Accepts requests and never answers. */
  silent: boolean;
  /** Status of the answers. */
  status: number;
  /** Whether answers have a signature. */
  signed: boolean;
  body: Buffer;
  /** Part of the signatures that distinguishes incarnations with the same identifier; absent if there is only one. */
  start?: number;
  /** Returns the body of the answer with a signature; absent if all answers have `body`. */
  bodyOf?: (signature: string) => Buffer;
  /** Returns the processing time for a path, in milliseconds; absent if it is `workMs` for all. */
  workOf?: (path: string) => number;
  /** Runs requests and closes the connection in place of an answer. */
  losesAnswers: boolean;
  /** Runs requests and sends this without end in place of an answer; absent for none. */
  endless?: EndlessAnswer;
  /** Runs requests and fails them in this way; absent if it does not. */
  quickFailure?: QuickFailure;
}

/** Observes the requests of a replica. */
export interface ReplicaObserver {
  /** A request has arrived; `ran` is false if the replica refused it. */
  arrived(request: ArrivedRequest, ran: boolean): void;
  /** The body of a request has been read. */
  read(request: ArrivedRequest): void;
  /** The answer to a request is being sent. */
  answered(request: ArrivedRequest, signature: string, status: number): void;
  /** A request has ended: it was answered, or its connection was closed. */
  ended(request: ArrivedRequest): void;
}

/** A request as received by the replica. */
export interface ArrivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** The connection closed before the answer. */
  left: boolean;
}

const readBody = async (incoming: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** One incarnation of a replica. */
export class StandInReplica {
  readonly arrived: ArrivedRequest[] = [];
  connections = 0;
  observer: ReplicaObserver | undefined;
  private running = 0;
  private signatures = 0;

  private constructor(
    private readonly server: Server,
    readonly id: string,
    readonly port: number,
    readonly behaviour: ReplicaBehaviour,
  ) {}

  static async start(
    id: string,
    behaviour: Partial<ReplicaBehaviour> = {},
    port = 0,
  ): Promise<StandInReplica> {
    const server = createServer({ keepAliveTimeout: 30_000, maxHeaderSize: MAX_HEADER_BYTES });
    server.maxHeadersCount = 0;
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    const replica = new StandInReplica(server, id, (server.address() as AddressInfo).port, {
      workMs: 0,
      slots: 100,
      silent: false,
      status: 200,
      signed: true,
      losesAnswers: false,
      body: Buffer.from(id.padEnd(16, '.').slice(0, 16)),
      ...behaviour,
    });
    server.on('connection', () => (replica.connections += 1));
    server.on('request', (incoming, outgoing) => void replica.handleRequest(incoming, outgoing));
    return replica;
  }

  /** Returns the content of the replica's entry in the store. */
  entry(service: string, zone: string, state = 'ready'): unknown {
    const address = `127.0.0.1:${this.port}`;
    return { service, address, zone, version: 'v1', slots: 4, state, cold_left_ms: 0, seq: 1 };
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Closes all connections and continues to serve. */
  cutConnections(): void {
    this.server.closeAllConnections();
  }

  private async handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const id = String(incoming.headers['x-request-id'] ?? '');
    const { method = '', url = '', headers } = incoming;
    const target = headers['x-target-instance'];
    const request = { id, method, path: url, headers, body: '', left: false };
    if (target !== undefined && target !== this.id) {
      this.observer?.arrived(request, false);
      outgoing.writeHead(421, { 'x-instance-id': this.id }).end();
      return;
    }
    if (this.running >= this.behaviour.slots) {
      this.observer?.arrived(request, false);
      outgoing.writeHead(503, { 'x-not-executed': '1', 'x-request-id': id }).end();
      return;
    }
    this.running += 1;
    this.arrived.push(request);
    this.observer?.arrived(request, true);
    outgoing.once('close', () => {
      request.left = !outgoing.writableFinished;
      this.observer?.ended(request);
    });
    request.body = await readBody(incoming).catch(() => '');
    this.observer?.read(request);
    const workMs = this.behaviour.workOf?.(url) ?? this.behaviour.workMs;
    setTimeout(() => this.answer(request, outgoing), workMs);
  }

  private answer(request: ArrivedRequest, outgoing: ServerResponse): void {
    this.running -= 1;
    const { silent, status, signed, losesAnswers, endless, quickFailure } = this.behaviour;
    if (silent || outgoing.destroyed) {
      return;
    }
    if (endless !== undefined) {
      if (outgoing.socket !== null) {
        sendWithoutEnd(outgoing.socket, endless);
      }
      return;
    }
    if (quickFailure !== undefined) {
      if (outgoing.socket !== null) {
        failQuickly(outgoing.socket, quickFailure);
      }
      return;
    }
    if (losesAnswers) {
      outgoing.socket?.resetAndDestroy();
      return;
    }
    this.signatures += 1;
    const { start } = this.behaviour;
    const signer = start === undefined ? this.id : `${this.id}-${start}`;
    const signature = `${signer}.${this.signatures}`;
    const body = this.behaviour.bodyOf?.(signature) ?? this.behaviour.body;
    this.observer?.answered(request, signature, status);
    outgoing.writeHead(status, {
      'x-request-id': request.id,
      ...(signed && { 'x-server-stamp': signature }),
      'x-server-load': `${this.running},0,${this.behaviour.slots}`,
      'content-length': body.length,
    });
    outgoing.end(body);
  }
}
