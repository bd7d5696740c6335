/** The connections to one replica, and the attempts that wait for one. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import type { SendAttempt } from '../effect.js';
import type { AttemptId, AttemptProblem } from '../model/request.js';
import type { ConnectTimeout } from './connect-timeout.js';
import { ReplicaConnection } from './replica-connection.js';

/**
 * A connection that has rested for longer may have gone silent without a sign. A request that may run only
 * once is not sent over it: nothing could be done for it any more, while a new connection takes some
 * milliseconds. In milliseconds; replicas pause for less.
 */
const MAX_TRUSTED_IDLE_MS = 1_000;

/** A connection that no request runs over. */
interface IdleConnection {
  readonly connection: ReplicaConnection;
  /** When it was opened, or last brought an answer. */
  readonly idleSince: number;
}

/** Is told whether the replica refuses connections. */
type CheckListener = (isDown: boolean) => void;

/** What a pool tells its client. */
export interface PoolListener {
  /** A connection is free for the attempt; its time left is counted from now. */
  onConnectionFree(attempt: SendAttempt, connection: ReplicaConnection, pool: ReplicaPool): void;
  /** No connection could be opened for the attempt, which was not sent. */
  onUnreachable(attempt: SendAttempt, problem: AttemptProblem): void;
}

/**
 * Opens connections as attempts need them, up to the bound that comes with each attempt. An attempt
 * is sent over the first connection that is free, whether it is a new one or one given back.
 */
export class ReplicaPool {
  private readonly idle: IdleConnection[] = [];
  private readonly waiting: SendAttempt[] = [];
  /** Those who wait to hear whether the replica takes connections. */
  private readonly checkListeners: CheckListener[] = [];
  /** Who is told when a connection breaks, until when; undefined while nobody is. */
  private watcher: { readonly untilAt: number; readonly onChecked: CheckListener } | undefined;
  private openCount = 0;
  private openingCount = 0;
  private maxConnections = 1;
  private isClosed = false;

  constructor(
    private readonly address: HostPort,
    private readonly clock: MonotonicClock,
    private readonly connectTimeout: ConnectTimeout,
    private readonly listener: PoolListener,
  ) {}

  submit(attempt: SendAttempt): void {
    this.maxConnections = attempt.maxConnections;
    this.waiting.push(attempt);
    this.assignConnections();
  }

  /** Opens the first connection before it is needed. */
  preconnect(): void {
    if (this.openCount === 0) {
      this.openConnection();
    }
  }

  /**
   * Looks whether the replica takes connections: by one that is being opened, or by one more where the bound allows
   * it, which is kept.
   *
   * @param onChecked - told once; `isDown` where the connection was refused
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
   * Keeps a connection until `untilAt`, and looks at the replica at once when one breaks: whether a replica ends that
   * works on nothing that is waited for shows nowhere else.
   *
   * @param onChecked - told of each look
   */
  watch(untilAt: number, onChecked: CheckListener): void {
    const known = this.watcher?.untilAt ?? untilAt;
    this.watcher = { untilAt: Math.max(known, untilAt), onChecked };
    if (this.openCount === 0) {
      this.check(onChecked);
    }
  }

  /** Takes an attempt that waits out of the queue; false when it does not wait here. */
  withdraw(attempt: AttemptId): boolean {
    const index = this.waiting.findIndex((each) => each.attempt === attempt);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    return index >= 0;
  }

  /**
   * Gives a connection back. Bytes may follow a whole answer in the same piece: the connection is
   * used again only once the parser has seen all of the piece, and has closed it if there were any.
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

  /** Closes idle connections; the others close when they are given back. */
  close(): void {
    this.isClosed = true;
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

  /** The connection that rested last; where the request may run only once, one that is surely alive. */
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
        this.connectTimeout.recordConnect(this.clock.now() - openingSince);
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

  /** A watched replica is looked at when a connection without a request breaks, or the last one is given up. */
  private checkIfWatched(wasIdle: boolean): void {
    const { watcher } = this;
    if (watcher === undefined || this.isClosed) {
      return;
    }
    if (this.clock.now() > watcher.untilAt) {
      this.watcher = undefined;
    } else if (wasIdle || this.openCount === 0) {
      this.check(watcher.onChecked);
    }
  }

  /**
   * The attempt for which the connection was to be opened goes to another replica; so do all that wait where
   * no connection is open: the replica cannot be reached.
   */
  private failWaiting(problem: AttemptProblem): void {
    const isUnreachable = this.openCount === 0;
    const failed = this.waiting.splice(0, isUnreachable ? this.waiting.length : 1);
    failed.forEach((attempt) => this.listener.onUnreachable(attempt, problem));
  }
}
