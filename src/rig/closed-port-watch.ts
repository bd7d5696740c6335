/** Listens at the port of a replica that is gone, and notes who tries to connect. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { pause } from './pause.js';

const HOST = '127.0.0.1';
const RETRY_MS = 20;
const MAX_ATTEMPTS = 50;

const tryToListen = async (server: Server, port: number): Promise<boolean> => {
  server.listen(port, HOST);
  try {
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  }
};

/** Takes each connection, notes when, and ends it at once without reading. */
export class ClosedPortWatch {
  /** When connections were tried, on the clock of `performance.now()`. */
  readonly connectedAt: number[] = [];
  private readonly server = createServer((socket) => {
    this.connectedAt.push(performance.now());
    socket.on('error', () => socket.destroy());
    socket.resetAndDestroy();
  });

  /**
   * Begins to listen as soon as the replica has closed the port.
   *
   * @throws when the port stays taken
   */
  async begin(port: number): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (await tryToListen(this.server, port)) {
        return;
      }
      await pause(RETRY_MS);
    }
    throw new Error(`port ${port} is not closed`);
  }

  /** Gives the port back. */
  async end(): Promise<void> {
    this.server.close();
    await once(this.server, 'close');
  }
}
