/**
 * Simulates the driver's back-end client: a bounded connection pool per replica, attempt deadlines
 * and cancellation. Each attempt ends with exactly one outcome.
 */
import type { SendAttempt } from '../core/effect.js';
import type { AttemptId } from '../core/identifiers.js';
import type { AttemptOutcome } from '../protocol/leg-messages.js';
import { addressKey } from './network-endpoint.js';
import type { NetworkPlace, Reachability } from './reachability.js';
import type { ScheduledAction, Scheduler } from './scheduler.js';
import type { SimulatedReplica } from './simulated-replica.js';

/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Delay until a refused or broken connection is detected, in milliseconds. */
const RESET_DETECTION_MS = 1;
/** Delay between an answer and its duplicate, in milliseconds. */
const DUPLICATE_DELAY_MS = 30;

/** Finds the replica that listens at an address. */
export type FindReplica = (address: string) => SimulatedReplica | undefined;

/** Latency between a node and a replica, one way, in milliseconds. */
export type BackendLatency = (node: NetworkPlace, replica: SimulatedReplica) => number;

/** Options of a back-end client. */
export interface BackendClientOptions {
  readonly place: NetworkPlace;
  readonly scheduler: Scheduler;
  readonly reachability: Reachability;
  readonly findReplica: FindReplica;
  readonly latency: BackendLatency;
  /** Called with the outcome of each attempt; `serviceMs` is 0 if no byte was sent. */
  readonly onEnded: (attempt: AttemptId, outcome: AttemptOutcome, serviceMs: number) => void;
}

interface Attempt {
  readonly effect: SendAttempt;
  readonly pool: Pool;
  readonly startedAt: number;
  readonly deadlineAt: number;
  readonly timeout: ScheduledAction;
  /** Whether the first byte has been sent. */
  sent: boolean;
}

interface Pool {
  readonly address: string;
  /** Connections that are open or being opened. */
  open: number;
  idle: number;
  /** One entry for each connection that the replica has accepted. */
  readonly connected: SimulatedReplica[];
  readonly waiting: Attempt[];
}

const placeOf = (replica: SimulatedReplica): NetworkPlace => ({
  name: replica.options.status.replica,
  zone: replica.options.status.zone,
});

/** Sends a node's attempts to the simulated replicas. */
export class BackendClient {
  private readonly pools = new Map<string, Pool>();
  private readonly attempts = new Map<AttemptId, Attempt>();
  private dead = false;

  constructor(private readonly options: BackendClientOptions) {}

  /** Number of attempts that have not ended. */
  get openAttempts(): number {
    return this.attempts.size;
  }

  /** Sends an attempt. `onEnded` is called for every attempt unless the process terminates. */
  send(effect: SendAttempt): void {
    const { scheduler } = this.options;
    const { attempt: id } = effect.leg;
    const attempt: Attempt = {
      effect,
      pool: this.poolOf(addressKey(effect.replica)),
      startedAt: scheduler.now,
      deadlineAt: scheduler.now + effect.remainingMs,
      timeout: scheduler.schedule(effect.remainingMs, () => {
        this.handleTimeout(attempt);
      }),
      sent: false,
    };
    this.attempts.set(id, attempt);
    this.acquireConnection(attempt);
  }

  /** Cancels an attempt; its outcome states whether any byte had been sent. */
  cancel(id: AttemptId): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) {
      return;
    }
    if (!attempt.sent) {
      this.end(attempt, { type: 'not-run', reason: 'cancelled-before-sent' });
      return;
    }
    const replica = this.options.findReplica(attempt.pool.address);
    if (replica !== undefined && this.canReach(replica)) {
      this.options.scheduler.schedule(this.latencyTo(replica), () => {
        replica.cancel(id);
      });
    }
    this.end(attempt, { type: 'unknown', reason: 'cancelled' });
  }

  /** Closes the idle connections to an address. */
  close(host: string, port: number): void {
    const pool = this.pools.get(addressKey({ host, port }));
    if (pool !== undefined) {
      this.closeConnections(pool, pool.idle);
      pool.idle = 0;
    }
  }

  /** Closes all connections when the process ends, without reporting any outcome. */
  terminate(): void {
    this.dead = true;
    for (const attempt of this.attempts.values()) {
      this.options.scheduler.cancel(attempt.timeout);
      this.options.findReplica(attempt.pool.address)?.cancel(attempt.effect.leg.attempt);
    }
    this.attempts.clear();
    for (const pool of this.pools.values()) {
      this.closeConnections(pool, pool.open);
    }
    this.pools.clear();
  }

  private poolOf(address: string): Pool {
    const found = this.pools.get(address);
    if (found !== undefined) {
      return found;
    }
    const pool: Pool = { address, open: 0, idle: 0, connected: [], waiting: [] };
    this.pools.set(address, pool);
    return pool;
  }

  private acquireConnection(attempt: Attempt): void {
    const { pool } = attempt;
    if (pool.idle > 0) {
      pool.idle -= 1;
      this.sendOnConnection(attempt);
    } else if (pool.open < Math.max(1, attempt.effect.connections)) {
      pool.open += 1;
      this.connect(attempt);
    } else {
      pool.waiting.push(attempt);
    }
  }

  private connect(attempt: Attempt): void {
    const replica = this.options.findReplica(attempt.pool.address);
    if (replica !== undefined && !this.canReach(replica)) {
      this.options.scheduler.schedule(CONNECT_TIMEOUT_MS, () => {
        this.handleConnectFailure(attempt);
      });
      return;
    }
    if (replica === undefined || !replica.openConnection()) {
      this.options.scheduler.schedule(RESET_DETECTION_MS, () => {
        this.handleConnectFailure(attempt);
      });
      return;
    }
    attempt.pool.connected.push(replica);
    const connectMs = replica.connectionOpeningMs + 2 * this.latencyTo(replica);
    this.options.scheduler.schedule(connectMs, () => {
      this.useConnection(attempt, replica);
    });
  }

  private useConnection(attempt: Attempt, replica: SimulatedReplica): void {
    if (!this.isOpen(attempt)) {
      this.releaseConnection(attempt.pool);
    } else if (replica.faults.dead) {
      this.handleConnectFailure(attempt);
    } else {
      this.sendOnConnection(attempt);
    }
  }

  private handleConnectFailure(attempt: Attempt): void {
    this.dropConnection(attempt.pool);
    if (this.isOpen(attempt)) {
      this.end(attempt, { type: 'not-run', reason: 'connect-failed' });
    }
  }

  private sendOnConnection(attempt: Attempt): void {
    const { scheduler, place, findReplica } = this.options;
    const replica = findReplica(attempt.pool.address);
    if (replica === undefined || replica.faults.dead) {
      this.handleConnectFailure(attempt);
      return;
    }
    attempt.sent = true;
    if (!this.canReach(replica)) {
      return;
    }
    const { context, leg } = attempt.effect;
    scheduler.schedule(this.latencyTo(replica), () => {
      replica.receive({
        context,
        leg,
        feeder: place.name,
        remainingMs: attempt.deadlineAt - scheduler.now,
        answer: (outcome) => {
          this.handleOutcome(attempt, replica, outcome);
        },
      });
    });
  }

  private handleOutcome(
    attempt: Attempt,
    replica: SimulatedReplica,
    outcome: AttemptOutcome,
  ): void {
    if (!this.canReach(replica)) {
      return;
    }
    if (outcome.type === 'unknown' && outcome.reason === 'connection-lost') {
      this.breakConnection(attempt);
      return;
    }
    this.options.scheduler.schedule(this.latencyTo(replica), () => {
      if (this.isOpen(attempt)) {
        this.end(attempt, outcome);
      }
    });
    if (replica.duplicatesAnswers) {
      this.deliverDuplicate(attempt, outcome);
    }
  }

  private deliverDuplicate({ effect }: Attempt, outcome: AttemptOutcome): void {
    this.options.scheduler.schedule(DUPLICATE_DELAY_MS, () => {
      if (!this.dead) {
        this.options.onEnded(effect.leg.attempt, outcome, 0);
      }
    });
  }

  private breakConnection(attempt: Attempt): void {
    this.options.scheduler.schedule(RESET_DETECTION_MS, () => {
      if (this.isOpen(attempt)) {
        this.dropConnection(attempt.pool);
        this.finish(attempt, { type: 'unknown', reason: 'connection-lost' });
      }
    });
  }

  private handleTimeout(attempt: Attempt): void {
    if (!this.isOpen(attempt)) {
      return;
    }
    const outcome: AttemptOutcome = attempt.sent
      ? { type: 'unknown', reason: 'timed-out' }
      : { type: 'not-run', reason: 'deadline-passed' };
    this.end(attempt, outcome);
  }

  /** Ends an attempt and releases its connection. */
  private end(attempt: Attempt, outcome: AttemptOutcome): void {
    if (attempt.sent) {
      this.releaseConnection(attempt.pool);
    }
    this.finish(attempt, outcome);
  }

  private finish(attempt: Attempt, outcome: AttemptOutcome): void {
    const { scheduler } = this.options;
    const { attempt: id } = attempt.effect.leg;
    scheduler.cancel(attempt.timeout);
    this.attempts.delete(id);
    const waiting = attempt.pool.waiting.indexOf(attempt);
    if (waiting >= 0) {
      attempt.pool.waiting.splice(waiting, 1);
    }
    this.options.onEnded(id, outcome, attempt.sent ? scheduler.now - attempt.startedAt : 0);
  }

  private releaseConnection(pool: Pool): void {
    if (this.pools.get(pool.address) !== pool) {
      return;
    }
    const next = pool.waiting.shift();
    if (next === undefined) {
      pool.idle += 1;
    } else {
      this.sendOnConnection(next);
    }
  }

  private dropConnection(pool: Pool): void {
    if (this.pools.get(pool.address) !== pool) {
      return;
    }
    this.closeConnections(pool, 1);
    const next = pool.waiting.shift();
    if (next !== undefined) {
      this.acquireConnection(next);
    }
  }

  private closeConnections(pool: Pool, count: number): void {
    pool.open -= count;
    for (const replica of pool.connected.splice(0, count)) {
      replica.closeConnection();
    }
  }

  private isOpen(attempt: Attempt): boolean {
    return this.attempts.get(attempt.effect.leg.attempt) === attempt;
  }

  private canReach(replica: SimulatedReplica): boolean {
    return !this.options.reachability.isCut(this.options.place, placeOf(replica));
  }

  private latencyTo(replica: SimulatedReplica): number {
    return this.options.latency(this.options.place, replica);
  }
}
