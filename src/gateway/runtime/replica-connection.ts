/** One connection to a replica, over which one request runs at a time. */
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { HostPort } from '../../settings/node-settings.js';
import { formatHostPort } from '../../settings/parse-host-port.js';
import type { AttemptProblem } from '../model/request.js';
import { problemOfConnectError } from './broken-exchange.js';
import { ReceivedBytes } from './received-bytes.js';
import { openConnection, wasReset } from './sockets.js';
import { Client } from './undici-client.js';

/** Time for which an idle connection is kept unless the replica requests less, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** An idle connection is closed this long before the replica would close it, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 400;

/** A request in the form in which it is sent. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** Receives the events of a connection. */
export interface ConnectionListener {
  onOpened(): void;
  /** Called once, when the connection can no longer be used. */
  onClosed(problem: AttemptProblem): void;
}

/** A connection; creating it opens it. */
export class ReplicaConnection {
  private readonly client: Client;
  private readonly socket: Socket;
  private socketProvided = false;
  private problem: AttemptProblem = 'connect-refused';
  wasOpened = false;
  isClosed = false;
  /** The socket was reset or failed, so that an answer without a length is incomplete. */
  isBroken = false;
  /** At least one answer was received over the connection. */
  hasAnswered = false;
  /** How long it took to open, in milliseconds; set by the pool. */
  connectMs = 0;
  readonly received: ReceivedBytes;

  constructor(
    address: HostPort,
    connectTimeoutMs: number,
    private readonly listener: ConnectionListener,
  ) {
    this.socket = openConnection(address, connectTimeoutMs, (error) =>
      this.handleConnectResult(error),
    );
    this.socket.once('close', () => this.handleClosed());
    this.received = new ReceivedBytes(this.socket);
    this.client = new Client(`http://${formatHostPort(address)}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (_options, callback) => this.provideSocket(callback),
    });
  }

  /** Sends a request; `handler` is always called when it ends. */
  send(request: WireRequest, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        // By default, the client closes the connection after HEAD and after an unexpected body, and the pool would
        // assign the next request to it. Bytes after the end of an answer close the connection in any case.
        reset: false,
      },
      handler,
    );
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
    void this.client.destroy().catch(() => undefined);
    this.handleClosed();
  }

  /**
   * Passes the socket to the client, only once: a broken connection is not reopened. The callback is deferred because
   * the client stalls if it is called before `connect` has returned.
   */
  private provideSocket(callback: (...args: [Error, null] | [null, Socket]) => void): void {
    const isUsable = !this.socketProvided && !this.socket.destroyed;
    this.socketProvided = true;
    queueMicrotask(() => {
      if (isUsable) {
        callback(null, this.socket);
      } else {
        callback(new Error('the connection is closed'), null);
      }
    });
  }

  private handleClosed(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.listener.onClosed(this.problem);
    }
  }

  /** Listens for errors and the end before the client, so that `isBroken` is set when the client ends the answer. */
  private handleConnectResult(error: Error | null): void {
    if (error !== null) {
      this.problem = problemOfConnectError(error);
      return;
    }
    this.wasOpened = true;
    this.socket.on('error', () => {
      this.isBroken = true;
    });
    this.socket.on('end', () => {
      this.isBroken ||= wasReset(this.socket);
      this.socket.destroySoon();
    });
    this.listener.onOpened();
  }
}
