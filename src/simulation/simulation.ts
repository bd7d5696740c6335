/**
 * A simulated tier: nodes that run the real core, replicas, the platform's store, callers and
 * operators, on one virtual clock and network. A run is determined by its seed and its inputs.
 */
import { type CallId, identifier, type NodeId } from '../core/identifiers.js';
import type { QueryOutcome, QueryRequest } from '../core/query/query-request.js';
import { createRandom } from '../core/random.js';
import { step } from '../core/reducer.js';
import type { EditOutcome, EditRequest } from '../table/edit.js';
import type { CallRecord, EditCallRecord, LostCallReason } from './call-record.js';
import { findConditions, HEALTHY_NETWORK } from './network-conditions.js';
import { addressKey } from './network-endpoint.js';
import type { NodePlacement, NodeEnvironment } from './node-environment.js';
import type { SimulationObserver } from './observer.js';
import type { RunRecord } from './replica-record.js';
import { DisturbanceTracker } from './disturbance-tracker.js';
import { Scheduler } from './scheduler.js';
import { deriveSeed } from './seeds.js';
import { SimulatedNode } from './simulated-node.js';
import { SimulatedReplica } from './simulated-replica.js';
import { SimulatedStore } from './simulated-store.js';
import type { NodeOptions, ReplicaOptions, SimulationOptions } from './simulation-options.js';
import { VirtualNetwork } from './virtual-network.js';

/** Latency between a caller and a node, one way, in milliseconds. */
const CLIENT_LATENCY_MS = 1;
/** Port of every simulated node. */
const NODE_PORT = 7_000;

/** A running simulation. */
export class Simulation {
  readonly scheduler = new Scheduler();
  readonly disturbances = new DisturbanceTracker(this.scheduler);
  readonly network: VirtualNetwork;
  readonly store: SimulatedStore;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly replicas = new Map<string, SimulatedReplica>();
  readonly calls: CallRecord[] = [];
  readonly edits: EditCallRecord[] = [];
  private readonly observers: SimulationObserver[];
  private readonly openCalls = new Map<CallId, CallRecord>();
  private readonly openEdits = new Map<CallId, EditCallRecord>();
  private readonly answeredCalls = new Map<CallId, CallRecord>();
  private readonly replicasByAddress = new Map<string, SimulatedReplica>();
  private readonly environment: NodeEnvironment;
  private callCount = 0;

  constructor(readonly options: SimulationOptions) {
    const { seed } = options;
    this.observers = [...(options.observers ?? [])];
    this.network = new VirtualNetwork({
      scheduler: this.scheduler,
      random: createRandom(deriveSeed(seed, 'network')),
      conditions: options.network ?? HEALTHY_NETWORK,
      disturbances: this.disturbances,
      ...(options.measure && { measure: options.measure }),
    });
    this.store = new SimulatedStore(
      this.scheduler,
      this.network.reachability,
      this.disturbances,
      deriveSeed(seed, 'store'),
    );
    this.store.onStored = (object) => {
      this.observers.forEach((observer) => observer.objectWritten?.(object));
    };
    this.environment = this.createEnvironment();
  }

  /** Virtual time, in milliseconds. */
  get now(): number {
    return this.scheduler.now;
  }

  /** Adds an observer of all further events. */
  observe(observer: SimulationObserver): void {
    this.observers.push(observer);
  }

  /** Returns the calls at a node that have no answer yet. */
  openCallsOf(node: string): CallRecord[] {
    return [...this.openCalls.values()].filter((record) => record.node === node);
  }

  /** Runs the simulation for `durationMs` milliseconds of virtual time. */
  runFor(durationMs: number): void {
    this.scheduler.runUntil(this.scheduler.now + durationMs);
  }

  /** Schedules `action` after `delayMs` milliseconds of virtual time. */
  after(delayMs: number, action: () => void): void {
    this.scheduler.schedule(delayMs, action);
  }

  /** Adds a node; its process does not run until `start` is called. */
  addNode(options: NodeOptions): SimulatedNode {
    const placement: NodePlacement = {
      node: identifier(options.node),
      zone: identifier(options.zone),
      region: options.region ?? 'region',
      address: this.addressOfNode(options.node),
      seeds: (options.seeds ?? []).map((seed) => this.addressOfNode(seed)),
    };
    const node = new SimulatedNode(placement, this.environment);
    this.nodes.set(options.node, node);
    return node;
  }

  /**
   * Returns the node of that name.
   *
   * @throws Error if there is none
   */
  node(name: string): SimulatedNode {
    const node = this.nodes.get(name);
    if (node === undefined) {
      throw new Error(`node ${name} does not exist`);
    }
    return node;
  }

  /** Adds a replica that listens at the address given in its status. */
  addReplica(options: ReplicaOptions): SimulatedReplica {
    const replica = new SimulatedReplica({
      ...options,
      partner: identifier(options.partner),
      service: identifier(options.service),
      scheduler: this.scheduler,
      seed: deriveSeed(this.options.seed, options.status.replica),
      onAttemptStarted: (run) => {
        this.observers.forEach((observer) => observer.attemptStarted?.(run));
      },
      onAttemptArrived: (arrival) => {
        this.observers.forEach((observer) => observer.attemptArrived?.(arrival));
      },
      onLeavingAnnounced: (replica) => {
        this.observers.forEach((observer) => observer.announcedLeaving?.(replica));
      },
      onLifecycleChanged: (replica, isLeaving) => {
        this.observers.forEach((observer) => observer.lifecycleChanged?.(replica, isLeaving));
      },
    });
    this.replicas.set(options.status.replica, replica);
    this.replicasByAddress.set(addressKey(options.status), replica);
    return replica;
  }

  /**
   * Returns the replica of that name.
   *
   * @throws Error if there is none
   */
  replica(name: string): SimulatedReplica {
    const replica = this.replicas.get(name);
    if (replica === undefined) {
      throw new Error(`replica ${name} does not exist`);
    }
    return replica;
  }

  /** Returns all attempts that the replicas ran, in order of time. */
  listRuns(): RunRecord[] {
    return [...this.replicas.values()].flatMap(({ runs }) => runs).sort((a, b) => a.at - b.at);
  }

  /** Sends a query to a node; the returned record is updated as the simulation runs. */
  call(node: string, query: QueryRequest, clientLatencyMs = this.clientLatencyMs): CallRecord {
    const record: CallRecord = {
      call: this.nextCall(),
      node: identifier<NodeId>(node),
      query,
      sentAt: this.now,
      clientLatencyMs,
      extraAnswers: 0,
    };
    this.calls.push(record);
    this.openCalls.set(record.call, record);
    this.after(clientLatencyMs, () => {
      this.deliverCall(record);
    });
    return record;
  }

  /** Closes the caller's connection before its call is answered. */
  leave(record: CallRecord): void {
    if (this.openCalls.has(record.call)) {
      this.markCallLost(record, 'caller-left');
      this.after(record.clientLatencyMs, () => {
        this.node(record.node).deliver({ type: 'caller-left', call: record.call });
      });
    }
  }

  /** Sends an operator's edit to a node; the returned record is updated as the simulation runs. */
  edit(node: string, edit: EditRequest): EditCallRecord {
    const record: EditCallRecord = {
      call: this.nextCall(),
      node: identifier<NodeId>(node),
      edit,
      sentAt: this.now,
    };
    this.edits.push(record);
    this.openEdits.set(record.call, record);
    this.after(this.clientLatencyMs, () => {
      const target = this.node(record.node);
      if (target.isUp) {
        target.edit(record.call, edit);
      } else {
        this.markEditLost(record, 'node-down');
      }
    });
    return record;
  }

  private get clientLatencyMs(): number {
    return this.options.clientLatencyMs ?? CLIENT_LATENCY_MS;
  }

  private createEnvironment(): NodeEnvironment {
    const { seed } = this.options;
    return {
      scheduler: this.scheduler,
      network: this.network,
      store: this.store,
      findReplica: (address) => this.replicasByAddress.get(address),
      backendLatency: (place, replica) =>
        findConditions(this.network.conditions, place.zone, replica.options.status.zone).latencyMs,
      observers: this.observers,
      disturbances: this.disturbances,
      calls: {
        answerCaller: (call, outcome) => {
          this.handleAnswer(call, outcome);
        },
        answerOperator: (call, outcome) => {
          this.handleEditOutcome(call, outcome);
        },
        handleProcessEnd: (node) => {
          this.markCallsLost(node);
        },
      },
      random: createRandom(deriveSeed(seed, 'nodes')),
      seed,
      step: this.options.step ?? step,
      policy: this.options.policy ?? {},
    };
  }

  private addressOfNode(name: string): { host: string; port: number } {
    return { host: name, port: NODE_PORT };
  }

  private nextCall(): CallId {
    this.callCount += 1;
    return identifier(`call-${this.callCount}`);
  }

  private deliverCall(record: CallRecord): void {
    const node = this.node(record.node);
    if (!this.openCalls.has(record.call)) {
      return;
    }
    if (node.isUp) {
      node.query(record.call, record.query);
    } else {
      this.markCallLost(record, 'node-down');
    }
  }

  private markCallLost(record: CallRecord, reason: LostCallReason): void {
    this.openCalls.delete(record.call);
    record.lost = reason;
    record.endedAt = this.now;
  }

  private markCallsLost(node: NodeId): void {
    for (const record of [...this.openCalls.values()]) {
      if (record.node === node) {
        this.markCallLost(record, 'connection-lost');
      }
    }
    for (const record of [...this.openEdits.values()]) {
      if (record.node === node) {
        this.markEditLost(record, 'connection-lost');
      }
    }
  }

  private markEditLost(record: EditCallRecord, reason: LostCallReason): void {
    this.openEdits.delete(record.call);
    record.lost = reason;
    record.endedAt = this.now;
  }

  private handleAnswer(call: CallId, outcome: QueryOutcome): void {
    const answered = this.answeredCalls.get(call);
    if (answered !== undefined) {
      answered.extraAnswers += 1;
      this.observers.forEach((observer) => observer.answeredAgain?.(answered));
      return;
    }
    const record = this.openCalls.get(call);
    if (record === undefined) {
      return;
    }
    this.openCalls.delete(call);
    this.answeredCalls.set(call, record);
    this.after(record.clientLatencyMs, () => {
      record.outcome = outcome;
      record.endedAt = this.now;
      this.observers.forEach((observer) => observer.answered?.(record));
    });
  }

  private handleEditOutcome(call: CallId, outcome: EditOutcome): void {
    const record = this.openEdits.get(call);
    if (record === undefined) {
      return;
    }
    this.openEdits.delete(call);
    this.after(this.clientLatencyMs, () => {
      record.outcome = outcome;
      record.endedAt = this.now;
      this.observers.forEach((observer) => observer.editAnswered?.(record));
    });
  }
}
