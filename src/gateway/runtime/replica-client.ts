/** Sends attempts to replicas, with a small pool of connections for each replica. */
import { MAX_DELAY_MS } from '../../runtime/deadline-queue.js';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type {
  CheckReplica,
  OpenConnection,
  RecallAttempt,
  SendAttempt,
  WatchReplica,
} from '../effect.js';
import type { ReplicaRecord } from '../model/replica-record.js';
import type { AttemptId, AttemptProblem, AttemptResult } from '../model/request.js';
import type { GatewayProtocol, HeaderNames } from '../protocol/protocol.js';
import type { AnswerMemory } from './answer-memory.js';
import { AnswerReader, type ExchangeEnd } from './answer-reader.js';
import type { CallerRequests, PendingRequest } from './caller-requests.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { ConnectTimeout } from './connect-timeout.js';
import type { ReplicaConnection, WireRequest } from './replica-connection.js';
import { type PoolListener, ReplicaPool } from './replica-pool.js';

/** Time after its deadline at which an attempt is aborted, in milliseconds. */
const DEADLINE_GRACE_MS = 50;

interface RunningAttempt {
  readonly reader: AnswerReader;
  timer: NodeJS.Timeout;
}

/** Dependencies of the client. */
export interface ReplicaClientContext {
  readonly protocol: GatewayProtocol;
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
  readonly memory: AnswerMemory;
}

const formatRequest = (
  { method, path, passedHeaders, body }: PendingRequest,
  { replica }: SendAttempt,
  remainingMs: number,
  { timeBudget, targetInstance }: HeaderNames,
): WireRequest => {
  const ownHeaders = [timeBudget, String(remainingMs), targetInstance, replica.id];
  return { method, path, headers: [...passedHeaders, ...ownHeaders], body };
};

/**
 * Executes the effects about replicas: `send-attempt`, `abort-attempt`, `recall-attempt`, `open-connection`,
 * `check-replica`, `watch-replica` and `close-replica`. Emits `attempt-ended` and `replica-checked`.
 */
export class ReplicaClient implements PoolListener {
  private readonly pools = new Map<string, ReplicaPool>();
  private readonly running = new Map<AttemptId, RunningAttempt>();
  private readonly connectTimeout = new ConnectTimeout();

  constructor(private readonly context: ReplicaClientContext) {}

  send(effect: SendAttempt): void {
    this.findOrCreatePool(effect.replica).submit(effect);
  }

  abort(attempt: AttemptId, withinMs: number): void {
    const running = this.running.get(attempt);
    if (running === undefined) {
      this.recall({ attempt });
      return;
    }
    clearTimeout(running.timer);
    if (withinMs === 0) {
      running.reader.abort('aborted');
    } else {
      const abortAfterMs = Math.min(withinMs, MAX_DELAY_MS);
      running.timer = setTimeout(() => running.reader.abort('aborted'), abortAfterMs);
    }
  }

  /** Ends an attempt that waits for a connection. */
  recall({ attempt }: Pick<RecallAttempt, 'attempt'>): void {
    if (this.running.has(attempt)) {
      return;
    }
    for (const pool of this.pools.values()) {
      if (pool.removeWaiting(attempt)) {
        this.emitEnded(attempt, { type: 'failed', problem: 'aborted', mayHaveRun: false });
        return;
      }
    }
  }

  /** Opens a connection to a replica ahead of the first attempt. */
  preconnect({ replica }: OpenConnection): void {
    this.findOrCreatePool(replica).preconnect();
  }

  /** Checks whether a replica accepts connections. */
  check({ replica }: CheckReplica): void {
    this.findOrCreatePool(replica).check((isDown) => this.emitChecked(replica, isDown));
  }

  /** Keeps a connection to a replica open, and checks the replica when one breaks. */
  watch({ replica, untilAt }: WatchReplica): void {
    this.findOrCreatePool(replica).watch(untilAt, (isDown) => this.emitChecked(replica, isDown));
  }

  /** Closes the idle connections to a replica; the others are closed when their requests end. */
  close(replica: string): void {
    this.pools.get(replica)?.close();
    this.pools.delete(replica);
  }

  /** Closes everything at once. */
  destroy(): void {
    [...this.pools.keys()].forEach((replica) => this.close(replica));
    this.running.forEach(({ reader }) => reader.abort('aborted'));
  }

  onConnectionFree(effect: SendAttempt, connection: ReplicaConnection, pool: ReplicaPool): void {
    const { protocol, requests, clock, memory } = this.context;
    const caller = requests.find(effect.call);
    const remainingMs = Math.floor(effect.deadlineAt - clock.now());
    if (caller === undefined || remainingMs < 1) {
      pool.releaseConnection(connection);
      this.emitEnded(effect.attempt, { type: 'failed', problem: 'timed-out', mayHaveRun: false });
      return;
    }
    const { requestId, method } = caller;
    const expectsBody = method !== 'HEAD';
    const { maxAnswerBytes } = pool;
    const { rank } = effect;
    const options = { requestId, rank, expectsBody, maxAnswerBytes, protocol, memory, clock };
    const reader = new AnswerReader(connection, options, (end) =>
      this.finish(effect.attempt, pool, connection, end),
    );
    const abortAfterMs = Math.min(remainingMs + DEADLINE_GRACE_MS, MAX_DELAY_MS);
    const timer = setTimeout(() => reader.abort('timed-out'), abortAfterMs);
    this.running.set(effect.attempt, { reader, timer });
    connection.send(formatRequest(caller, effect, remainingMs, protocol.headers), reader);
  }

  onUnreachable({ attempt }: SendAttempt, problem: AttemptProblem): void {
    this.emitEnded(attempt, { type: 'failed', problem, mayHaveRun: false });
  }

  private findOrCreatePool(replica: ReplicaRecord): ReplicaPool {
    const known = this.pools.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const pool = new ReplicaPool(
      { host: replica.host, port: replica.port },
      this.context.clock,
      this.connectTimeout,
      this,
    );
    this.pools.set(replica.id, pool);
    return pool;
  }

  private finish(
    attempt: AttemptId,
    pool: ReplicaPool,
    connection: ReplicaConnection,
    { result, reusable }: ExchangeEnd,
  ): void {
    clearTimeout(this.running.get(attempt)?.timer);
    this.running.delete(attempt);
    if (result.type === 'failed' && result.problem === 'endless-answer') {
      pool.recordEndlessAnswer();
    }
    if (reusable) {
      pool.releaseConnection(connection);
    } else {
      connection.destroy();
    }
    this.emitEnded(attempt, result);
  }

  private emitChecked({ id: replica }: ReplicaRecord, isDown: boolean): void {
    const { sink, clock } = this.context;
    sink.emit({ type: 'replica-checked', at: clock.now(), replica, isDown });
  }

  private emitEnded(attempt: AttemptId, result: AttemptResult): void {
    const { sink, clock } = this.context;
    sink.emit({ type: 'attempt-ended', at: clock.now(), attempt, result });
  }
}
