/** A stand-in of the platform's replicas, written from its protocol page. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Far above what a test sends: what a caller may send is for the gateway to say. */
const MAX_HEADER_BYTES = 1_048_576;

/** How a replica treats a request. */
export interface ReplicaBehaviour {
  /** Time that it works on a request, in milliseconds. */
  workMs: number;
  /** Requests it works on at once; those beyond are refused. */
  slots: number;
  /** Takes requests and never answers. */
  silent: boolean;
  /** Answers with a status of its own. */
  status: number;
  /** Signs its answers. */
  signed: boolean;
  body: Buffer;
}

/** A request as it reached the replica. */
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
      body: Buffer.from(id.padEnd(16, '.').slice(0, 16)),
      ...behaviour,
    });
    server.on('connection', () => (replica.connections += 1));
    server.on('request', (incoming, outgoing) => void replica.take(incoming, outgoing));
    return replica;
  }

  /** Its entry in the store. */
  entry(service: string, zone: string, state = 'ready'): unknown {
    const address = `127.0.0.1:${this.port}`;
    return { service, address, zone, version: 'v1', slots: 4, state, cold_left_ms: 0, seq: 1 };
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Resets all its connections and serves on. */
  cutConnections(): void {
    this.server.closeAllConnections();
  }

  private async take(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const id = String(incoming.headers['x-request-id'] ?? '');
    const { method = '', url = '', headers } = incoming;
    const target = headers['x-target-instance'];
    if (target !== undefined && target !== this.id) {
      outgoing.writeHead(421, { 'x-instance-id': this.id }).end();
      return;
    }
    if (this.running >= this.behaviour.slots) {
      outgoing.writeHead(503, { 'x-not-executed': '1', 'x-request-id': id }).end();
      return;
    }
    this.running += 1;
    const request = { id, method, path: url, headers, body: '', left: false };
    this.arrived.push(request);
    outgoing.once('close', () => (request.left = !outgoing.writableFinished));
    request.body = await readBody(incoming);
    setTimeout(() => this.answer(id, outgoing), this.behaviour.workMs);
  }

  private answer(id: string, outgoing: ServerResponse): void {
    this.running -= 1;
    const { silent, status, signed, body } = this.behaviour;
    if (silent || outgoing.destroyed) {
      return;
    }
    this.signatures += 1;
    outgoing.writeHead(status, {
      'x-request-id': id,
      ...(signed && { 'x-server-stamp': `${this.id}.${this.signatures}` }),
      'x-server-load': `${this.running},0,${this.behaviour.slots}`,
      'content-length': body.length,
    });
    outgoing.end(body);
  }
}
