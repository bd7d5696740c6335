/** An HTTP server for a hono application, with the limits that apply to every HTTP port of a node. */
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
import { OpenAnswers } from './open-answers.js';

/** Maximum number of connections to one port. */
const MAX_CONNECTIONS = 10_000;

/** Maximum time for a complete request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 65_000;

/** Length of a turn in milliseconds, and number of turns that a closed port serves its connections. */
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
 * Closes the port but no connection. `close` of an HTTP server would immediately close connections on
 * which no request has been read yet, among them new ones whose first request is in transit.
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

  /** Listens on `address`; rejects if the address is not available. */
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
    const answers = new OpenAnswers();
    server.on('request', (incoming, outgoing: ServerResponse) => {
      answers.add(outgoing, listener.closesAfterAnswers);
      void handle(incoming, outgoing);
    });
    server.on('connection', (socket: Socket) => {
      listener.connections += 1;
      socket.once('close', () => {
        listener.connections -= 1;
      });
    });
    server.on('clientError', (_error, socket) => {
      // Sent first, the refusal would count as the answer to an earlier request on the connection.
      answers.afterAnswers(socket as Socket, () => refuseMalformed(socket as Socket));
    });
    return listener;
  }

  /** Makes each further answer request the client to close its connection. */
  closeConnectionsAfterAnswers(): void {
    this.closesAfterAnswers = true;
  }

  /**
   * Closes the port gracefully: accepts no new connection and gives open ones time to be answered. Time
   * is counted in turns of the loop, each of which reads arrived data, so that a process does not cut
   * off requests that arrived while it was paused.
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
