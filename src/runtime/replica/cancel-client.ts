/** Cancels attempts at replicas; the cancellations of one turn of the loop are sent together. */
import { Pool } from 'undici';
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { AttemptId } from '../../core/identifiers.js';
import { originOf } from './replica-origin.js';

/** Number of connections to a replica for cancellations only, so that they overtake queued requests. */
const CANCEL_CONNECTIONS = 1;

/** Timeout of cancellations, in milliseconds. */
const CANCEL_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;

const ignore = (): void => undefined;

/** Sends cancellations. A lost one wastes work of the replica but never causes a wrong answer. */
export class CancelClient {
  private readonly pools = new Map<string, Pool>();
  private readonly queuedByOrigin = new Map<string, AttemptId[]>();
  private flushScheduled = false;

  /** Cancels an attempt at `replica`, together with the others of this turn of the loop. */
  cancel(replica: ReplicaStatus, attempt: AttemptId): void {
    const origin = originOf(replica);
    const attempts = this.queuedByOrigin.get(origin);
    if (attempts === undefined) {
      this.queuedByOrigin.set(origin, [attempt]);
    } else {
      attempts.push(attempt);
    }
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      setImmediate(() => this.flush());
    }
  }

  /** Closes the connections to one replica. */
  closeReplica(origin: string): void {
    const pool = this.pools.get(origin);
    this.pools.delete(origin);
    void pool?.close().catch(ignore);
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.queuedByOrigin.clear();
    this.pools.forEach((pool) => void pool.destroy().catch(ignore));
    this.pools.clear();
  }

  private flush(): void {
    this.flushScheduled = false;
    this.queuedByOrigin.forEach((attempts, origin) => this.send(origin, attempts));
    this.queuedByOrigin.clear();
  }

  private send(origin: string, attempts: readonly AttemptId[]): void {
    this.poolOf(origin)
      .request({
        path: '/v1/cancel',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ attempts }),
      })
      .then(({ body }) => body.dump())
      .catch(ignore);
  }

  private poolOf(origin: string): Pool {
    const existing = this.pools.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(origin, {
      connections: CANCEL_CONNECTIONS,
      headersTimeout: CANCEL_TIMEOUT_MS,
      bodyTimeout: CANCEL_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CANCEL_TIMEOUT_MS },
    });
    this.pools.set(origin, pool);
    return pool;
  }
}
