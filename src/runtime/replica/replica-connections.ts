/** The connections to one replica. */
import { Pool } from 'undici';
import type { AttemptHandler } from './attempt-handler.js';

/** Connect timeout, in milliseconds; the deadline of an attempt may be shorter. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

/**
 * Creates a pool without timeouts for answers, as the timers of undici are coarse: the replica client
 * enforces deadlines itself.
 */
const createPool = (origin: string, connections: number): Pool =>
  new Pool(origin, {
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });

const ignore = (): void => undefined;

/** A pool whose size follows this node's share of the replica's connections. */
export class ReplicaConnections {
  private pool: Pool;

  constructor(
    private readonly origin: string,
    private connections: number,
  ) {
    this.pool = createPool(origin, connections);
  }

  /** Changes the number of connections; requests in progress finish on their connections. */
  resize(connections: number): void {
    if (connections === this.connections) {
      return;
    }
    void this.pool.close().catch(ignore);
    this.connections = connections;
    this.pool = createPool(this.origin, connections);
  }

  /** Sends one attempt. */
  sendLeg(body: string, remainingMs: number, handler: AttemptHandler): void {
    this.pool.dispatch(
      {
        path: '/v1/leg',
        method: 'POST',
        headers: [
          'content-type',
          'application/json',
          'x-crossroad-deadline-ms',
          String(Math.max(1, Math.floor(remainingMs))),
        ],
        body,
      },
      handler,
    );
  }

  /** Closes the connections once the requests in progress have finished. */
  close(): void {
    void this.pool.close().catch(ignore);
  }

  /** Closes all connections at once. */
  destroy(): void {
    void this.pool.destroy().catch(ignore);
  }
}
