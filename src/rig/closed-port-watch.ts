/** Listens on the port that a replica has closed and records connection attempts. */
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

/** Records the time of each connection and resets it without reading. */
export class ClosedPortWatch {
  /** Times of connection attempts, in milliseconds of `performance.now()`. */
  readonly connectedAt: number[] = [];
  private readonly server = createServer((socket) => {
    this.connectedAt.push(performance.now());
    socket.on('error', () => socket.destroy());
    socket.resetAndDestroy();
  });

  /**
   * Starts to listen as soon as the replica has closed the port.
   *
   * @throws Error when the port stays in use
   */
  async begin(port: number): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (await tryToListen(this.server, port)) {
        return;
      }
      await pause(RETRY_MS);
    }
    throw new Error(`port ${port} is still in use`);
  }

  /** Closes the port. */
  async end(): Promise<void> {
    this.server.close();
    await once(this.server, 'close');
  }
}
