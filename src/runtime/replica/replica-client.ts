/** Sends attempts to replicas and reports the outcome of each exactly once. */
import type { CancelAttempt, CloseReplica, SendAttempt } from '../../core/effect.js';
import type { AttemptId } from '../../core/identifiers.js';
import type { AttemptOutcome, LegResult } from '../../protocol/leg-messages.js';
import type { EventSink } from '../core-loop.js';
import { DeadlineQueue, TURNS_AFTER_STALL } from '../deadline-queue.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import { AttemptHandler } from './attempt-handler.js';
import { CancelClient } from './cancel-client.js';
import { formatLegRequest } from './leg-request.js';
import { ReplicaConnections } from './replica-connections.js';
import { originOf } from './replica-origin.js';

/** Time a replica has to confirm a cancellation before the connection is closed, in milliseconds. */
const CANCEL_GRACE_MS = 100;

/** Carries out `send-attempt`, `cancel-attempt` and `close-replica`. */
export class ReplicaClient {
  private readonly replicas = new Map<string, ReplicaConnections>();
  private readonly running = new Map<AttemptId, AttemptHandler>();
  private readonly cancels = new CancelClient();
  private readonly deadlines: DeadlineQueue<AttemptHandler>;
  private results: LegResult[] = [];

  constructor(
    private readonly clock: MonotonicClock,
    private readonly sink: EventSink,
  ) {
    const onDue = (handler: AttemptHandler): void => this.handleDeadline(handler);
    this.deadlines = new DeadlineQueue(clock, onDue, TURNS_AFTER_STALL);
  }

  /** Number of attempts that have not ended. */
  get attemptsRunning(): number {
    return this.running.size;
  }

  send(effect: SendAttempt): void {
    const { attempt } = effect.leg;
    const now = this.clock.now();
    const handler = new AttemptHandler(effect, now, this.end);
    this.running.set(attempt, handler);
    handler.deadline = this.deadlines.set(handler, now + Math.max(0, effect.remainingMs));
    this.connectionsOf(effect).sendLeg(
      formatLegRequest(effect.context, effect.leg),
      effect.remainingMs,
      handler,
    );
  }

  cancel(effect: CancelAttempt): void {
    const handler = this.running.get(effect.attempt);
    if (handler === undefined) {
      return;
    }
    if (!handler.sent) {
      handler.abandon('cancelled-before-sent', 'cancelled');
      return;
    }
    handler.abandonReason = 'cancelled';
    this.cancelDeadline(handler);
    handler.deadline = this.deadlines.set(handler, this.clock.now() + CANCEL_GRACE_MS);
    this.cancels.cancel(handler.effect.replica, effect.attempt);
  }

  closeReplica(effect: CloseReplica): void {
    const origin = originOf(effect);
    this.replicas.get(origin)?.close();
    this.replicas.delete(origin);
    this.cancels.closeReplica(origin);
  }

  /** Closes all connections at once; attempts in progress are no longer reported. */
  destroy(): void {
    this.deadlines.clear();
    this.running.clear();
    this.cancels.destroy();
    this.replicas.forEach((connections) => connections.destroy());
    this.replicas.clear();
  }

  private connectionsOf(effect: SendAttempt): ReplicaConnections {
    const origin = originOf(effect.replica);
    const existing = this.replicas.get(origin);
    if (existing !== undefined) {
      existing.resize(effect.connections);
      return existing;
    }
    const created = new ReplicaConnections(origin, effect.connections);
    this.replicas.set(origin, created);
    return created;
  }

  private handleDeadline(handler: AttemptHandler): void {
    if (handler.abandonReason === 'cancelled') {
      handler.abandon('cancelled-before-sent', 'cancelled');
      return;
    }
    if (handler.sent) {
      this.cancels.cancel(handler.effect.replica, handler.effect.leg.attempt);
    }
    handler.abandon('deadline-passed', 'timed-out');
  }

  private cancelDeadline(handler: AttemptHandler): void {
    if (handler.deadline !== undefined) {
      this.deadlines.cancel(handler.deadline);
    }
  }

  private readonly end = (handler: AttemptHandler, outcome: AttemptOutcome): void => {
    const { attempt } = handler.effect.leg;
    if (!this.running.delete(attempt)) {
      return;
    }
    this.cancelDeadline(handler);
    const serviceMs = handler.sent ? this.clock.now() - handler.startedAt : 0;
    if (this.results.length === 0) {
      setImmediate(() => this.emitResults());
    }
    this.results.push({ attempt, outcome, queuedMs: 0, serviceMs });
  };

  private emitResults(): void {
    const { results } = this;
    this.results = [];
    this.sink.emit({ type: 'attempts-ended', at: this.clock.now(), results });
  }
}
