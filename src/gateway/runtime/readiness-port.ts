/** The port on which the load balancer checks whether this gateway accepts callers. */
import { createServer, type Server } from 'node:http';
import type { HostPort } from '../../settings/node-settings.js';
import { listenOn } from './sockets.js';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;
const NOT_FOUND_STATUS = 404;

/** Answers 200 while the gateway is ready and 503 otherwise. */
export class ReadinessPort {
  private readonly server: Server;
  private ready = false;

  constructor(path: string) {
    this.server = createServer((incoming, outgoing) => {
      const status = this.ready ? READY_STATUS : NOT_READY_STATUS;
      outgoing.writeHead(incoming.url === path ? status : NOT_FOUND_STATUS, {
        'content-length': '0',
      });
      outgoing.end();
    });
  }

  /** Listens on `address`; rejects if the address is not available. */
  listen(address: HostPort): Promise<void> {
    return listenOn(this.server, address);
  }

  setReady(ready: boolean): void {
    this.ready = ready;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
