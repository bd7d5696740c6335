/** One connection to a replica, over which one request runs at a time. */
import type { Socket } from 'node:net';
import type { buildConnector, Dispatcher } from 'undici';
import type { HostPort } from '../../settings/node-settings.js';
import { formatHostPort } from '../../settings/parse-host-port.js';
import { ConnectTimeoutError, openConnection, wasReset } from './sockets.js';
import { Client } from './undici-client.js';

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

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

/** What went wrong with the connection itself. */
export type ConnectionFault = 'none' | 'connect-refused' | 'connect-timeout' | 'socket-error';

/** A client that opens its connection with the first request. */
export class ReplicaConnection {
  private readonly client: Client;
  private socket: Socket | undefined;
  /** What went wrong last. */
  fault: ConnectionFault = 'none';
  /** A request that was dispatched may have been sent. */
  connected = false;
  /** The connection cannot be used any more. */
  isClosed = false;

  /** @param onClosed - the connection cannot be used any more */
  constructor(
    address: HostPort,
    private readonly onClosed: () => void,
  ) {
    this.client = new Client(`http://${formatHostPort(address)}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (_options, callback) => this.open(address, callback),
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
      },
      handler,
    );
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.isClosed = true;
    this.socket?.destroy();
    void this.client.destroy().catch(() => undefined);
  }

  private open(address: HostPort, callback: buildConnector.Callback): void {
    const socket = openConnection(address, CONNECT_TIMEOUT_MS, (...args) => {
      this.noteOpened(args[0]);
      callback(...args);
    });
    this.socket = socket;
    socket.once('close', () => {
      this.isClosed = true;
      this.onClosed();
    });
  }

  /** Listens for errors and ends before the client does, so that the fault is known when an answer ends. */
  private noteOpened(error: Error | null): void {
    if (error !== null) {
      this.fault = error instanceof ConnectTimeoutError ? 'connect-timeout' : 'connect-refused';
      return;
    }
    this.connected = true;
    const { socket } = this;
    socket?.on('error', () => {
      this.fault = 'socket-error';
    });
    socket?.on('end', () => {
      this.fault = wasReset(socket) ? 'socket-error' : this.fault;
    });
  }
}
