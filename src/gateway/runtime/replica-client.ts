/** Sends attempts to replicas over a small pool of connections for each. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { SendAttempt } from '../effect.js';
import type { AttemptId, AttemptProblem, AttemptResult } from '../model/request.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import { AnswerReader, type ExchangeEnd } from './answer-reader.js';
import type { CallerRequests } from './caller-requests.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { ReplicaConnection, type WireRequest } from './replica-connection.js';

/** How long after its deadline an attempt is given up, in milliseconds. */
const DEADLINE_GRACE_MS = 50;

/** Connections to one replica, idle ones last used last. */
interface Pool {
  readonly idle: ReplicaConnection[];
  open: number;
  closed: boolean;
}

interface RunningAttempt {
  readonly reader: AnswerReader;
  timer: NodeJS.Timeout;
}

/** What the client needs of its process. */
export interface ReplicaClientContext {
  readonly protocol: GatewayProtocol;
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

/** Carries out `send-attempt`, `abort-attempt` and `close-replica`; emits `attempt-ended`. */
export class ReplicaClient {
  private readonly pools = new Map<string, Pool>();
  private readonly running = new Map<AttemptId, RunningAttempt>();

  constructor(private readonly context: ReplicaClientContext) {}

  send(effect: SendAttempt): void {
    const pool = this.poolOf(effect.replica.id);
    const wire = this.formatRequest(effect);
    const connection = this.takeConnection(pool, effect);
    if (connection === undefined || wire === undefined) {
      this.endLater(effect.attempt, 'no-connection');
      return;
    }
    const { protocol, requests } = this.context;
    const requestId = requests.find(effect.call)?.requestId ?? '';
    const reader = new AnswerReader(connection, protocol, requestId, (end) =>
      this.finish(effect.attempt, pool, connection, end),
    );
    const timer = setTimeout(
      () => reader.abort('timed-out'),
      effect.remainingMs + DEADLINE_GRACE_MS,
    );
    this.running.set(effect.attempt, { reader, timer });
    connection.send(wire, reader);
  }

  abort(attempt: AttemptId, withinMs: number): void {
    const running = this.running.get(attempt);
    if (running === undefined) {
      return;
    }
    clearTimeout(running.timer);
    if (withinMs === 0) {
      running.reader.abort('aborted');
    } else {
      running.timer = setTimeout(() => running.reader.abort('aborted'), withinMs);
    }
  }

  /** Closes the idle connections to a replica; the others close when their requests end. */
  close(replica: string): void {
    const pool = this.pools.get(replica);
    if (pool !== undefined) {
      pool.closed = true;
      this.pools.delete(replica);
      pool.idle.splice(0).forEach((connection) => connection.destroy());
    }
  }

  /** Closes everything at once. */
  destroy(): void {
    [...this.pools.keys()].forEach((replica) => this.close(replica));
    this.running.forEach(({ reader }) => reader.abort('aborted'));
  }

  private poolOf(replica: string): Pool {
    const known = this.pools.get(replica);
    if (known !== undefined) {
      return known;
    }
    const pool: Pool = { idle: [], open: 0, closed: false };
    this.pools.set(replica, pool);
    return pool;
  }

  private takeConnection(pool: Pool, effect: SendAttempt): ReplicaConnection | undefined {
    const idle = pool.idle.pop();
    if (idle !== undefined) {
      return idle;
    }
    if (pool.open >= effect.maxConnections) {
      return undefined;
    }
    pool.open += 1;
    const connection: ReplicaConnection = new ReplicaConnection(effect.replica, () => {
      pool.open -= 1;
      const index = pool.idle.indexOf(connection);
      if (index >= 0) {
        pool.idle.splice(index, 1);
      }
    });
    return connection;
  }

  private formatRequest(effect: SendAttempt): WireRequest | undefined {
    const { protocol, requests } = this.context;
    const caller = requests.find(effect.call);
    if (caller === undefined) {
      return undefined;
    }
    const { timeBudget, targetInstance } = protocol.headers;
    const headers = [
      ...caller.passedHeaders,
      timeBudget,
      String(effect.remainingMs),
      targetInstance,
      effect.replica.id,
    ];
    return { method: caller.method, path: caller.path, headers, body: caller.body };
  }

  /** An exchange may end while it is being sent; its event waits for the next turn of the loop. */
  private endLater(attempt: AttemptId, problem: AttemptProblem): void {
    setImmediate(() => this.emitEnd(attempt, { type: 'failed', problem, mayHaveRun: false }));
  }

  private finish(
    attempt: AttemptId,
    pool: Pool,
    connection: ReplicaConnection,
    { result, reusable }: ExchangeEnd,
  ): void {
    clearTimeout(this.running.get(attempt)?.timer);
    this.running.delete(attempt);
    if (!reusable || pool.closed) {
      connection.destroy();
    } else {
      this.release(pool, connection);
    }
    this.emitEnd(attempt, result);
  }

  /**
   * Bytes may follow a whole answer in the same piece: the connection is used again only once the
   * parser has seen all of the piece, and has closed the connection if there were any.
   */
  private release(pool: Pool, connection: ReplicaConnection): void {
    queueMicrotask(() => {
      if (pool.closed || connection.isClosed) {
        connection.destroy();
      } else {
        pool.idle.push(connection);
      }
    });
  }

  private emitEnd(attempt: AttemptId, result: AttemptResult): void {
    const { sink, clock } = this.context;
    sink.emit({ type: 'attempt-ended', at: clock.now(), attempt, result });
  }
}
