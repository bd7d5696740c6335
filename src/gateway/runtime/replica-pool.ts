/** The connections to one replica, and the attempts that wait for a connection. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import type { SendAttempt } from '../effect.js';
import type { AttemptId, AttemptProblem } from '../model/request.js';
import { MAX_ANSWER_BYTES } from './answer-limits.js';
import type { ConnectTimeout } from './connect-timeout.js';
import { ReplicaConnection } from './replica-connection.js';
import { type CheckListener, ReplicaWatch } from './replica-watch.js';

/**
 * A connection that has been idle for longer may have failed undetected, so that a request which may run only once is
 * not sent over it: such a request could not be retried, while a new connection takes some milliseconds. In
 * milliseconds; pauses of replicas are shorter.
 */
const MAX_TRUSTED_IDLE_MS = 1_000;

/**
 * After an answer that exceeded a limit, the answers of the replica are limited to this size for some time, in bytes and
 * milliseconds: each further answer without end would take as much processor time as the first one.
 */
const REDUCED_ANSWER_BYTES = 1024 * 1024;
const REDUCED_FOR_MS = 5_000;

/** A connection without a request in progress. */
interface IdleConnection {
  readonly connection: ReplicaConnection;
  /** When it was opened or last completed an answer. */
  readonly idleSince: number;
}

/** Receives the events of a pool. */
export interface PoolListener {
  /** A connection is free for the attempt; the receiver computes the time left now. */
  onConnectionFree(attempt: SendAttempt, connection: ReplicaConnection, pool: ReplicaPool): void;
  /** No connection could be opened for the attempt, which was not sent. */
  onUnreachable(attempt: SendAttempt, problem: AttemptProblem): void;
}

/**
 * Opens connections as attempts need them, up to the maximum given with each attempt. An attempt is sent over the first
 * connection that becomes free, either a new or a released one.
 */
export class ReplicaPool {
  private readonly idle: IdleConnection[] = [];
  private readonly waiting: SendAttempt[] = [];
  /** Listeners of the check in progress. */
  private readonly checkListeners: CheckListener[] = [];
  private readonly watching: ReplicaWatch;
  private openCount = 0;
  private openingCount = 0;
  private maxConnections = 1;
  /** Until then, the size of answers is limited more strictly. */
  private reducedUntil = Number.NEGATIVE_INFINITY;
  private isClosed = false;

  constructor(
    private readonly address: HostPort,
    private readonly clock: MonotonicClock,
    private readonly connectTimeout: ConnectTimeout,
    private readonly listener: PoolListener,
  ) {
    this.watching = new ReplicaWatch(clock, (onChecked) => this.check(onChecked));
  }

  /** Maximum size of an answer's body, in bytes. */
  get maxAnswerBytes(): number {
    return this.clock.now() < this.reducedUntil ? REDUCED_ANSWER_BYTES : MAX_ANSWER_BYTES;
  }

  /** Records that an answer of the replica has exceeded a limit. */
  recordEndlessAnswer(): void {
    this.reducedUntil = this.clock.now() + REDUCED_FOR_MS;
  }

  submit(attempt: SendAttempt): void {
    this.maxConnections = attempt.maxConnections;
    this.waiting.push(attempt);
    this.assignConnections();
  }

  /** Opens the first connection ahead of time. */
  preconnect(): void {
    if (this.openCount === 0) {
      this.openConnection();
    }
  }

  /**
   * Checks whether the replica accepts connections: by a connection that is being opened, or by a further one if the
   * maximum allows it, which is kept for use. At the maximum, the replica counts as up.
   *
   * @param onChecked - called once; `isDown` if the connection was refused
   */
  check(onChecked: CheckListener): void {
    this.checkListeners.push(onChecked);
    if (this.openingCount > 0) {
      return;
    }
    if (this.openCount < this.maxConnections) {
      this.openConnection();
    } else {
      queueMicrotask(() => this.notifyChecks(false));
    }
  }

  /**
   * Keeps a connection open until `untilAt` and checks the replica as soon as one breaks. This is the only way to
   * detect the crash of a replica that runs no awaited request.
   *
   * @param untilAt - milliseconds on the clock
   * @param onChecked - called after each check
   */
  watch(untilAt: number, onChecked: CheckListener): void {
    this.watching.extend(untilAt, onChecked);
    if (this.openCount === 0) {
      this.check(onChecked);
    }
  }

  /** Removes a waiting attempt from the queue; returns false if it does not wait here. */
  removeWaiting(attempt: AttemptId): boolean {
    const index = this.waiting.findIndex((each) => each.attempt === attempt);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    return index >= 0;
  }

  /**
   * Returns a connection to the pool. Bytes may follow a complete answer in the same chunk, on which the parser closes
   * the connection. It is therefore reused only after the parser has read the whole chunk.
   */
  releaseConnection(connection: ReplicaConnection): void {
    queueMicrotask(() => {
      if (this.isClosed) {
        connection.destroy();
      } else if (!connection.isClosed) {
        this.addIdle(connection);
        this.assignConnections();
      }
    });
  }

  /** Closes idle connections; the others are closed when they are released. */
  close(): void {
    this.isClosed = true;
    this.watching.end();
    this.idle.splice(0).forEach(({ connection }) => connection.destroy());
    this.waiting.splice(0).forEach((attempt) => {
      this.listener.onUnreachable(attempt, 'aborted');
    });
  }

  private assignConnections(): void {
    for (;;) {
      const [attempt] = this.waiting;
      if (attempt === undefined) {
        return;
      }
      const connection = this.takeIdle(attempt);
      if (connection === undefined) {
        this.openForWaiting();
        return;
      }
      this.waiting.shift();
      this.listener.onConnectionFree(attempt, connection, this);
    }
  }

  private addIdle(connection: ReplicaConnection): void {
    this.idle.push({ connection, idleSince: this.clock.now() });
  }

  /** Takes the most recently used idle connection; one that was idle for long only if the request is repeatable. */
  private takeIdle({ repeatable }: SendAttempt): ReplicaConnection | undefined {
    const newest = this.idle.pop();
    if (newest === undefined) {
      return undefined;
    }
    if (repeatable || this.clock.now() - newest.idleSince <= MAX_TRUSTED_IDLE_MS) {
      return newest.connection;
    }
    newest.connection.destroy();
    return undefined;
  }

  private openForWaiting(): void {
    while (this.openingCount < this.waiting.length && this.openCount < this.maxConnections) {
      this.openConnection();
    }
  }

  private notifyChecks(isDown: boolean): void {
    this.checkListeners.splice(0).forEach((onChecked) => onChecked(isDown));
  }

  private openConnection(): void {
    this.openCount += 1;
    this.openingCount += 1;
    const openingSince = this.clock.now();
    const connection = new ReplicaConnection(this.address, this.connectTimeout.timeoutMs, {
      onOpened: () => {
        connection.connectMs = this.clock.now() - openingSince;
        this.connectTimeout.recordConnect(connection.connectMs);
        this.openingCount -= 1;
        this.addIdle(connection);
        this.assignConnections();
        this.notifyChecks(false);
      },
      onClosed: (problem) => this.handleClosed(connection, problem),
    });
  }

  private handleClosed(connection: ReplicaConnection, problem: AttemptProblem): void {
    this.openCount -= 1;
    const index = this.idle.findIndex((each) => each.connection === connection);
    if (index >= 0) {
      this.idle.splice(index, 1);
    }
    if (connection.wasOpened) {
      this.checkIfWatched(index >= 0);
    } else {
      this.openingCount -= 1;
      this.notifyChecks(problem === 'connect-refused');
      this.failWaiting(problem);
    }
    this.assignConnections();
  }

  /** Checks a watched replica when an idle connection breaks or the last connection is closed. */
  private checkIfWatched(wasIdle: boolean): void {
    if (!this.isClosed && (wasIdle || this.openCount === 0)) {
      this.watching.checkAfterBreak();
    }
  }

  /**
   * Fails the attempt for which the connection was being opened, so that it is sent to another replica. If no other
   * connection is open, the replica is unreachable and all waiting attempts fail.
   */
  private failWaiting(problem: AttemptProblem): void {
    const isUnreachable = this.openCount === 0;
    const failed = this.waiting.splice(0, isUnreachable ? this.waiting.length : 1);
    failed.forEach((attempt) => this.listener.onUnreachable(attempt, problem));
  }
}
