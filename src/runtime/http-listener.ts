/** An HTTP server over a hono application, with the bounds that every port of a node has. */
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import type { HostPort } from '../settings/node-settings.js';
import {
  formatProblem,
  type Problem,
  PROBLEM_MEDIA_TYPE,
  problemResponse,
} from './caller/problem.js';

/** Most connections one port holds. */
const MAX_CONNECTIONS = 10_000;

/** Longest time for a request to arrive whole, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Time an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 65_000;

/** Turns of the loop that a port which is closed still serves its connections. */
const DRAIN_TURN_MS = 25;
const MIN_DRAIN_TURNS = 8;
const MAX_DRAIN_TURNS = 80;

/** Handles one request, as hono's `fetch` does. */
export type FetchHandler = (
  request: Request,
  bindings: HttpBindings,
) => Response | Promise<Response>;

const MALFORMED_PROBLEM: Problem = {
  status: 400,
  title: 'Malformed request',
  detail: 'The request is no well-formed HTTP/1.1 request.',
  outcome: 'not-run',
  reason: 'malformed-http',
};

const MALFORMED = formatProblem(MALFORMED_PROBLEM);

const MALFORMED_RESPONSE = [
  'HTTP/1.1 400 Bad Request',
  `content-type: ${PROBLEM_MEDIA_TYPE}`,
  `content-length: ${Buffer.byteLength(MALFORMED)}`,
  'connection: close',
  '',
  MALFORMED,
].join('\r\n');

const refuseMalformed = (socket: Socket): void => {
  if (socket.writable) {
    socket.end(MALFORMED_RESPONSE);
  } else {
    socket.destroy();
  }
};

/**
 * Closes the port alone. The close of an HTTP server would end at once the connections on which no
 * request has been read yet, among them those just accepted, whose first request is on its way.
 */
const closePort = (server: Server): void => {
  NetServer.prototype.close.call(server);
};

/** A listening HTTP server. */
export class HttpListener {
  private closesAfterAnswers = false;
  private connections = 0;

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  /** Listens on `address`; rejects when the address cannot be had. */
  static async open(address: HostPort, fetch: FetchHandler): Promise<HttpListener> {
    const handle = getRequestListener((request, env) => fetch(request, env as HttpBindings), {
      errorHandler: () => problemResponse(MALFORMED_PROBLEM),
    });
    const server = createServer({
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    server.maxConnections = MAX_CONNECTIONS;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => {
        server.off('error', reject);
        resolve();
      });
    });
    const listener = new HttpListener(server, (server.address() as AddressInfo).port);
    server.on('request', (incoming, outgoing: ServerResponse) => {
      if (listener.closesAfterAnswers) {
        outgoing.setHeader('connection', 'close');
      }
      void handle(incoming, outgoing);
    });
    server.on('connection', (socket: Socket) => {
      listener.connections += 1;
      socket.once('close', () => {
        listener.connections -= 1;
      });
    });
    server.on('clientError', (_error, socket) => refuseMalformed(socket as Socket));
    return listener;
  }

  /** From now on each answer asks the client to close its connection. */
  closeConnectionsAfterAnswers(): void {
    this.closesAfterAnswers = true;
  }

  /**
   * Closes the port in order: takes no new connection, and gives those that are open time to be
   * answered. Time is counted in turns of the loop, each of which reads what has arrived, so that a
   * process that was held up cuts nobody off when it goes on.
   */
  async drain(): Promise<void> {
    this.closesAfterAnswers = true;
    await nextTurn();
    closePort(this.server);
    for (let turn = 1; turn <= MAX_DRAIN_TURNS; turn += 1) {
      await delay(DRAIN_TURN_MS);
      await nextTurn();
      if (turn > MIN_DRAIN_TURNS) {
        this.server.closeIdleConnections();
      }
      if (turn > MIN_DRAIN_TURNS && this.connections === 0) {
        return;
      }
    }
  }

  /** Closes the port and every connection at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
