/**
 * Model of a replica without I/O or timers; the time is passed in. Drivers (the HTTP stand-in and
 * the simulation) call `submit`, `cancel` and `setFaults` when requests arrive. They call `advance`
 * at the time that `nextAt` returns to obtain the replies that are due.
 */
import { createRandom, type Random } from '../../core/random.js';
import type { ReplicaLoad } from '../../protocol/leg-messages.js';
import { AnswerWriter } from './answer-writer.js';
import type {
  LegRequest,
  ExecutionRecord,
  ReplicaRefusalReason,
  ReplicaReply,
} from './leg-exchange.js';
import { LoadReporter } from './load-reporter.js';
import { findMisplacement } from './misplacement.js';
import {
  type HeldSnapshot,
  healthyReplica,
  type ReplicaFaultChange,
  type ReplicaFaults,
} from './replica-faults.js';
import { type ColdStart, coldFactorAt, drawServiceTime } from './service-time.js';

/** Maximum number of requests that wait for a slot, per slot. */
export const QUEUE_PER_SLOT = 4;
/** Maximum number of execution records kept; the oldest are dropped first. */
const EXECUTION_RECORD_LIMIT = 200_000;
/** Retry delay that a shedding replica returns, in milliseconds. */
const SHED_RETRY_AFTER_MS = 20;
/** Default time to open a connection, in milliseconds. */
export const CONNECTION_OPENING_MS = 1;

/** Options of a replica model. */
export interface ReplicaModelOptions {
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly connectionOpeningMs?: number;
  readonly medianServiceMs: number;
  readonly snapshots: readonly HeldSnapshot[];
  readonly seed: number;
}

/** Whether a connection was accepted. */
export type ConnectionOutcome =
  | { readonly type: 'opened'; readonly usableAt: number }
  | { readonly type: 'refused'; readonly reason: 'dead' | 'connection-limit' };

interface WaitingLeg {
  readonly ticket: number;
  readonly leg: LegRequest;
  readonly deadlineAt: number;
}

interface RunningLeg extends WaitingLeg {
  readonly finishAt: number;
  readonly record: ExecutionRecord;
}

const endTimeOf = (running: RunningLeg): number => Math.min(running.finishAt, running.deadlineAt);

/** Removes and returns the items of `list` that match, last item first. */
const removeWhere = <Item>(list: Item[], isChosen: (item: Item) => boolean): Item[] => {
  const removed: Item[] = [];
  for (let index = list.length - 1; index >= 0; index -= 1) {
    const item = list[index];
    if (item !== undefined && isChosen(item)) {
      list.splice(index, 1);
      removed.push(item);
    }
  }
  return removed;
};

/** Model of a replica of one service. All times are in milliseconds on the driver's clock. */
export class ReplicaModel {
  private readonly random: Random;
  private readonly reporter: LoadReporter;
  private readonly writer: AnswerWriter;
  private readonly queue: WaitingLeg[] = [];
  private readonly running: RunningLeg[] = [];
  private readonly due: ReplicaReply[] = [];
  private readonly records: ExecutionRecord[] = [];
  private faults: ReplicaFaults;
  private cold: ColdStart = { warmAt: 0, coldMs: 0 };
  /** When the last request arrived, refused or not. */
  lastRequestAt = Number.NEGATIVE_INFINITY;
  private openConnections = 0;
  /** The replica was frozen until this time; changes that were due earlier happen at this time. */
  private frozenUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ReplicaModelOptions) {
    this.random = createRandom(options.seed);
    this.writer = new AnswerWriter(this.random);
    this.reporter = new LoadReporter(options.slots);
    this.faults = healthyReplica(options.snapshots);
  }

  /** The faults currently in effect. */
  get currentFaults(): ReplicaFaults {
    return this.faults;
  }

  /** The requests that ran, in the order in which they started. */
  get ran(): readonly ExecutionRecord[] {
    return this.records;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.openConnections;
  }

  /** The actual load, without delay. */
  get trueLoad(): ReplicaLoad {
    return { inFlight: this.running.length, queued: this.queue.length };
  }

  /** The load that the replica reports, which is delayed and may be wrong. */
  get reportedLoad(): ReplicaLoad {
    return this.reporter.report(this.faults.loadReport);
  }

  /** Opens a connection; the first request on it may be submitted at `usableAt`. */
  openConnection(at: number): ConnectionOutcome {
    if (this.faults.dead) {
      return { type: 'refused', reason: 'dead' };
    }
    if (this.openConnections >= this.options.connections) {
      return { type: 'refused', reason: 'connection-limit' };
    }
    this.openConnections += 1;
    const cost = this.options.connectionOpeningMs ?? CONNECTION_OPENING_MS;
    return { type: 'opened', usableAt: at + cost };
  }

  /** Records that an open connection has been closed. */
  closeConnection(): void {
    this.openConnections = Math.max(0, this.openConnections - 1);
  }

  /**
   * Handles a request that arrives at `at` with `remainingMs` until its deadline. `advance` returns
   * its reply under `ticket`, which the driver chooses.
   */
  submit(at: number, ticket: number, leg: LegRequest, remainingMs: number): void {
    this.runUntil(at);
    this.lastRequestAt = at;
    if (this.faults.dead) {
      this.due.push({ type: 'connection-lost', ticket });
      return;
    }
    const waiting: WaitingLeg = { ticket, leg, deadlineAt: at + remainingMs };
    if (this.faults.frozen) {
      this.queueUnanswered(waiting);
      return;
    }
    const reason = this.findRefusalReason(leg, remainingMs);
    if (reason !== undefined) {
      this.refuse(ticket, reason);
      return;
    }
    this.queue.push(waiting);
    this.fillSlots(at);
    this.recordLoad(at);
  }

  /** Cancels attempts; each is replied to as cancelled. */
  cancel(at: number, attempts: readonly string[]): void {
    this.runUntil(at);
    if (this.faults.frozen || this.faults.dead) {
      return;
    }
    const wanted = new Set(attempts);
    this.drop(({ leg }) => wanted.has(leg.attempt), 'cancelled');
    this.fillSlots(at);
  }

  /** Changes some of the faults at `at`. */
  setFaults(at: number, change: ReplicaFaultChange): void {
    this.runUntil(at);
    const wasFrozen = this.faults.frozen;
    this.faults = { ...this.faults, ...change };
    if (wasFrozen && !this.faults.frozen) {
      this.frozenUntil = at;
    }
    if (change.coldMs !== undefined) {
      this.cold = { warmAt: at + change.coldMs, coldMs: change.coldMs };
    }
    if (this.faults.dead) {
      this.drop(() => true, 'connection-lost');
    }
  }

  /** When `advance` must be called next; undefined when no change is pending. */
  nextAt(): number | undefined {
    if (this.due.length > 0) {
      return Number.NEGATIVE_INFINITY;
    }
    const next = this.nextChangeAt();
    return next === Number.POSITIVE_INFINITY ? undefined : next;
  }

  /** Processes all changes up to `at`, in order of time; returns the replies that are due. */
  advance(at: number): ReplicaReply[] {
    this.runUntil(at);
    return this.due.splice(0);
  }

  /** Queues a request at a frozen replica, up to its connection limit; others get no answer. */
  private queueUnanswered(waiting: WaitingLeg): void {
    if (this.queue.length < this.options.connections) {
      this.queue.push(waiting);
    }
  }

  private runUntil(at: number): void {
    for (let next = this.nextChangeAt(); next <= at; next = this.nextChangeAt()) {
      this.endRunningLegs(next);
      this.expireWaitingLegs(next);
      this.fillSlots(next);
      this.recordLoad(next);
    }
  }

  /** Returns the time of the next completion, expiry or start of a request. */
  private nextChangeAt(): number {
    if (this.faults.frozen) {
      return Number.POSITIVE_INFINITY;
    }
    let next = Number.POSITIVE_INFINITY;
    for (const running of this.running) {
      next = Math.min(next, endTimeOf(running));
    }
    for (const waiting of this.queue) {
      next = Math.min(next, waiting.deadlineAt);
    }
    if (this.queue.length > 0 && this.running.length < this.options.slots) {
      next = Number.NEGATIVE_INFINITY;
    }
    return Math.max(next, this.frozenUntil);
  }

  private endRunningLegs(at: number): void {
    for (const running of removeWhere(this.running, (each) => endTimeOf(each) <= at)) {
      if (running.deadlineAt < running.finishAt) {
        this.due.push({ type: 'cancelled', ticket: running.ticket });
      } else {
        this.finish(running);
      }
    }
  }

  private expireWaitingLegs(at: number): void {
    for (const { ticket } of removeWhere(this.queue, ({ deadlineAt }) => deadlineAt <= at)) {
      this.refuse(ticket, 'deadline-passed');
    }
  }

  private fillSlots(at: number): void {
    while (!this.faults.frozen && this.running.length < this.options.slots) {
      const waiting = this.queue.shift();
      if (waiting === undefined) {
        return;
      }
      this.start(at, waiting);
    }
  }

  private start(at: number, waiting: WaitingLeg): void {
    const { leg } = waiting;
    const record: ExecutionRecord = {
      request: leg.request,
      attempt: leg.attempt,
      shard: leg.shard,
      ...(leg.idempotencyKey === undefined ? {} : { idempotencyKey: leg.idempotencyKey }),
      safeToRepeat: leg.safeToRepeat,
      finished: false,
    };
    this.addRecord(record);
    const coldFactor = coldFactorAt(this.cold, at);
    const serviceMs = drawServiceTime(
      this.random,
      this.options.medianServiceMs,
      this.faults,
      coldFactor,
    );
    this.running.push({ ...waiting, finishAt: at + serviceMs, record });
  }

  private addRecord(record: ExecutionRecord): void {
    this.records.push(record);
    if (this.records.length > EXECUTION_RECORD_LIMIT) {
      this.records.splice(0, EXECUTION_RECORD_LIMIT / 2);
    }
  }

  private finish({ leg, ticket, record }: RunningLeg): void {
    record.finished = true;
    const { answer, damage } = this.writer.write(leg, this.faults, this.reportedLoad);
    const leaving = this.faults.lifecycle === 'leaving';
    this.due.push({ type: 'answered', ticket, answer, damage, leaving });
  }

  private findRefusalReason(
    leg: LegRequest,
    remainingMs: number,
  ): ReplicaRefusalReason | undefined {
    if (this.faults.lifecycle === 'leaving') {
      return 'leaving';
    }
    if (this.faults.shedding) {
      return 'shedding';
    }
    if (remainingMs <= 0) {
      return 'deadline-passed';
    }
    const misplaced = findMisplacement(this.options.service, this.faults.snapshots, leg);
    if (misplaced !== undefined) {
      return misplaced;
    }
    const queueLimit = this.options.slots * QUEUE_PER_SLOT;
    return this.queue.length >= queueLimit ? 'shedding' : undefined;
  }

  private refuse(ticket: number, reason: ReplicaRefusalReason): void {
    const retry = reason === 'shedding' ? { retryAfterMs: SHED_RETRY_AFTER_MS } : {};
    this.due.push({ type: 'refused', ticket, reason, ...retry });
  }

  private drop(
    isChosen: (waiting: WaitingLeg) => boolean,
    type: 'cancelled' | 'connection-lost',
  ): void {
    const dropped = [...removeWhere(this.queue, isChosen), ...removeWhere(this.running, isChosen)];
    dropped.forEach(({ ticket }) => this.due.push({ type, ticket }));
  }

  private recordLoad(at: number): void {
    this.reporter.recordLoad(at, this.trueLoad);
  }
}
