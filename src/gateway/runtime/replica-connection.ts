/** One connection to a replica, over which one request runs at a time. */
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { HostPort } from '../../settings/node-settings.js';
import { formatHostPort } from '../../settings/parse-host-port.js';
import type { AttemptProblem } from '../model/request.js';
import { ConnectTimeoutError, openConnection, wasReset } from './sockets.js';
import { Client } from './undici-client.js';

/** Time an idle connection is kept unless the replica says less, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** A connection is not used again so shortly before the replica would close it. */
const KEEP_ALIVE_MARGIN_MS = 400;

/** A request as it is sent over a connection. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** What a connection tells its pool. */
export interface ConnectionListener {
  onOpened(): void;
  /** The connection cannot be used any more; called once. */
  onClosed(problem: AttemptProblem): void;
}

/** A connection that opens when it is created. */
export class ReplicaConnection {
  private readonly client: Client;
  private readonly socket: Socket;
  private socketProvided = false;
  private problem: AttemptProblem = 'connect-refused';
  wasOpened = false;
  isClosed = false;
  /** The socket broke: an answer without a length is not whole. */
  isBroken = false;
  /** An answer has come over the connection. */
  hasAnswered = false;

  constructor(
    address: HostPort,
    connectTimeoutMs: number,
    private readonly listener: ConnectionListener,
  ) {
    this.socket = openConnection(address, connectTimeoutMs, (error) =>
      this.handleConnectResult(error),
    );
    this.socket.once('close', () => this.handleClosed());
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

  /** Sends a request; `handler` learns of its end, always. */
  send(request: WireRequest, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body,
        // The client would close the connection after HEAD and after bodies that a method does not expect, and
        // the pool would give the next request to it. Bytes that follow an answer close it in any case.
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
   * The client gets this socket and no other: a connection that broke is not opened again. The client
   * does not go on when it is called back before its call to connect has returned.
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

  /** Listens for errors and ends before the client does, so that both are known when it is told. */
  private handleConnectResult(error: Error | null): void {
    if (error !== null) {
      this.problem = error instanceof ConnectTimeoutError ? 'connect-timeout' : 'connect-refused';
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
