/** Runs a replica model in virtual time and records the attempts that it runs. */
import type { ReplicaStatus } from '../catalog/partner-index.js';
import type { AttemptId, PartnerId, ServiceName } from '../core/identifiers.js';
import type { AttemptOutcome, LegAttempt, LegContext } from '../protocol/leg-messages.js';
import { attemptOutcomeOf } from '../standins/replica-model/attempt-outcome.js';
import type { LegRequest, ExecutionRecord } from '../standins/replica-model/leg-exchange.js';
import type {
  HeldSnapshot,
  ReplicaFaultChange,
  ReplicaFaults,
} from '../standins/replica-model/replica-faults.js';
import { CONNECTION_OPENING_MS, ReplicaModel } from '../standins/replica-model/replica-model.js';
import type { ArrivalRecord, RunRecord } from './replica-record.js';
import type { ScheduledAction, Scheduler } from './scheduler.js';

/** Median service time of a replica whose options give none, in milliseconds. */
const DEFAULT_MEDIAN_SERVICE_MS = 5;

/** Options of a simulated replica. */
export interface SimulatedReplicaOptions {
  readonly partner: PartnerId;
  readonly service: ServiceName;
  readonly status: ReplicaStatus;
  readonly snapshots: readonly HeldSnapshot[];
  readonly medianServiceMs?: number;
  readonly connectionOpeningMs?: number;
  readonly scheduler: Scheduler;
  readonly seed: number;
  readonly onAttemptStarted?: (run: RunRecord) => void;
  readonly onAttemptArrived?: (arrival: ArrivalRecord) => void;
  /** Called when the replica announces in a refusal or an answer that it is leaving. */
  readonly onLeavingAnnounced?: (replica: string) => void;
  readonly onLifecycleChanged?: (replica: string, isLeaving: boolean) => void;
}

/** A request that has arrived at the replica. */
export interface ReplicaRequest {
  readonly context: LegContext;
  readonly leg: LegAttempt;
  /** The node whose connection carried the request. */
  readonly feeder: string;
  readonly remainingMs: number;
  /** Sends the outcome back; called at most once. */
  readonly answer: (outcome: AttemptOutcome) => void;
}

const legRequestOf = ({ context, leg }: ReplicaRequest): LegRequest => ({
  ...context,
  attempt: leg.attempt,
  shard: leg.shard,
});

const announcesLeaving = (outcome: AttemptOutcome): boolean =>
  outcome.type === 'answered'
    ? outcome.leaving === true
    : outcome.type === 'not-run' && outcome.reason === 'leaving';

/** A replica in a simulation. */
export class SimulatedReplica {
  readonly runs: RunRecord[] = [];
  /** Maximum number of connections open at the same time, over all nodes. */
  peakConnections = 0;
  /** Whether each answer is delivered to the node twice. */
  duplicatesAnswers = false;
  private readonly model: ReplicaModel;
  private readonly open = new Map<number, ReplicaRequest>();
  private readonly byAttempt = new Map<string, ReplicaRequest>();
  private lastTicket = 0;
  private recordedRuns = 0;
  private nextAdvance: ScheduledAction | undefined;

  constructor(readonly options: SimulatedReplicaOptions) {
    this.model = new ReplicaModel({
      service: options.service,
      slots: options.status.slots,
      connections: options.status.connections,
      medianServiceMs: options.medianServiceMs ?? DEFAULT_MEDIAN_SERVICE_MS,
      snapshots: options.snapshots,
      seed: options.seed,
    });
  }

  /** The faults currently in effect. */
  get faults(): ReplicaFaults {
    return this.model.currentFaults;
  }

  /** Records of the requests that ran, in the format of the replica stand-in. */
  get ran(): readonly ExecutionRecord[] {
    return this.model.ran;
  }

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.model.trueLoad.inFlight;
  }

  /** Time to open a connection, in milliseconds. */
  get connectionOpeningMs(): number {
    return this.options.connectionOpeningMs ?? CONNECTION_OPENING_MS;
  }

  /** Changes some of the faults; `dead` breaks connections and aborts running requests. */
  setFaults(change: ReplicaFaultChange): void {
    this.model.setFaults(this.now, change);
    if (change.lifecycle !== undefined) {
      const isLeaving = change.lifecycle === 'leaving';
      this.options.onLifecycleChanged?.(this.options.status.replica, isLeaving);
    }
    this.advanceModel();
  }

  /** Opens a connection; returns false if the replica refuses it. */
  openConnection(): boolean {
    const opened = this.model.openConnection(this.now).type === 'opened';
    this.peakConnections = Math.max(this.peakConnections, this.model.connections);
    return opened;
  }

  /** Records that a connection has been closed. */
  closeConnection(): void {
    this.model.closeConnection();
  }

  /** Handles a request that has arrived over a connection. */
  receive(request: ReplicaRequest): void {
    this.lastTicket += 1;
    this.open.set(this.lastTicket, request);
    this.byAttempt.set(request.leg.attempt, request);
    this.options.onAttemptArrived?.({
      at: this.now,
      replica: this.options.status.replica,
      request: request.context.request,
      attempt: request.leg.attempt,
      feeder: request.feeder,
    });
    this.model.submit(this.now, this.lastTicket, legRequestOf(request), request.remainingMs);
    this.advanceModel();
  }

  /** Cancels an attempt: it is answered immediately and its slot is released. */
  cancel(attempt: AttemptId): void {
    this.model.cancel(this.now, [attempt]);
    this.advanceModel();
  }

  private get now(): number {
    return this.options.scheduler.now;
  }

  /** Advances the model to the current time, sends its replies and schedules the next advance. */
  private advanceModel(): void {
    const replies = this.model.advance(this.now);
    this.recordNewRuns();
    for (const reply of replies) {
      const request = this.open.get(reply.ticket);
      this.open.delete(reply.ticket);
      if (request !== undefined) {
        this.byAttempt.delete(request.leg.attempt);
        this.answer(request, attemptOutcomeOf(reply));
      }
    }
    this.scheduleNextAdvance();
  }

  private answer(request: ReplicaRequest, outcome: AttemptOutcome): void {
    if (announcesLeaving(outcome)) {
      this.options.onLeavingAnnounced?.(this.options.status.replica);
    }
    request.answer(outcome);
  }

  private scheduleNextAdvance(): void {
    if (this.nextAdvance !== undefined) {
      this.options.scheduler.cancel(this.nextAdvance);
      this.nextAdvance = undefined;
    }
    const next = this.model.nextAt();
    if (next !== undefined) {
      this.nextAdvance = this.options.scheduler.schedule(next - this.now, () => {
        this.advanceModel();
      });
    }
  }

  private recordNewRuns(): void {
    const { ran } = this.model;
    for (; this.recordedRuns < ran.length; this.recordedRuns += 1) {
      const request = this.byAttempt.get(ran[this.recordedRuns]?.attempt ?? '');
      if (request !== undefined) {
        this.recordRun(request);
      }
    }
  }

  private recordRun({ context, leg }: ReplicaRequest): void {
    const run: RunRecord = {
      at: this.now,
      replica: this.options.status.replica,
      request: context.request,
      attempt: leg.attempt,
      partner: context.partner,
      shard: leg.shard,
      snapshot: context.snapshot,
      safeToRepeat: context.safeToRepeat,
      ...(context.idempotencyKey !== undefined && { idempotencyKey: context.idempotencyKey }),
    };
    this.runs.push(run);
    this.options.onAttemptStarted?.(run);
  }
}
