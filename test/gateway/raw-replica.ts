/** A replica that answers each request with raw bytes. */
import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { HostPort } from '../../src/settings/node-settings.js';

/** Answers one request; `head` is its request line and headers. */
export type RawAnswer = (socket: Socket, head: string) => void;

/** A listening replica. */
export class RawReplica {
  readonly requests: string[] = [];
  connections = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    readonly address: HostPort,
  ) {}

  static async start(answer: RawAnswer): Promise<RawReplica> {
    const server = createServer({ noDelay: true });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const replica = new RawReplica(server, { host: '127.0.0.1', port });
    server.on('connection', (socket) => replica.serve(socket, answer));
    return replica;
  }

  async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
  }

  private serve(socket: Socket, answer: RawAnswer): void {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let received = '';
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      const end = received.indexOf('\r\n\r\n');
      if (end >= 0) {
        const head = received.slice(0, end);
        received = received.slice(end + 4);
        this.requests.push(head);
        answer(socket, head);
      }
    });
  }
}
