/**
 * A node of a simulated tier: the real core under a virtual clock. A node can crash, restart
 * without state, pause, resume and perform a planned stop.
 */
import type { Event } from '../core/event.js';
import type { CallId, NodeId } from '../core/identifiers.js';
import type { QueryRequest } from '../core/query/query-request.js';
import { type CoreState, createCoreState } from '../core/state.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { NodeIdentity, PeerAddress } from '../protocol/node-address.js';
import type { LinkMessage } from '../protocol/peer-message.js';
import type { EditRequest } from '../table/edit.js';
import { BackendClient } from './backend-client.js';
import type { NetworkEndpoint } from './network-endpoint.js';
import {
  type NodePlacement,
  type NodeEnvironment,
  type UnstampedEvent,
  VIRTUAL_EPOCH_MS,
} from './node-environment.js';
import { deriveSeed } from './seeds.js';
import { executeEffect, clockOf, type SimulatedProcess } from './simulated-process.js';
import { type SetTimerEntry, Timers } from './timers.js';

/** Maximum difference between the monotonic clocks of two processes, in milliseconds. */
const CLOCK_OFFSET_RANGE_MS = 1_000_000;

/** State of a node's process. */
export type ProcessState = 'down' | 'running' | 'paused';

type InboxEntry =
  | { readonly type: 'event'; readonly event: UnstampedEvent }
  | { readonly type: 'timer'; readonly entry: SetTimerEntry };

/** Runs the core of one node and connects it to the simulated network, store and replicas. */
export class SimulatedNode implements NetworkEndpoint {
  processState: ProcessState = 'down';
  processNumber = 0;
  /** Virtual time at which the process started, in milliseconds. */
  startedAt = 0;
  private process: SimulatedProcess | undefined;
  private inbox: InboxEntry[] = [];

  constructor(
    readonly placement: NodePlacement,
    private readonly environment: NodeEnvironment,
  ) {}

  /** The node's identifier. */
  get name(): NodeId {
    return this.placement.node;
  }

  /** The node's zone. */
  get zone(): NodeIdentity['zone'] {
    return this.placement.zone;
  }

  /** The address at which peers reach the node. */
  get address(): PeerAddress {
    return this.placement.address;
  }

  /** Whether the process exists. */
  get isUp(): boolean {
    return this.process !== undefined;
  }

  /** The core's state, which callers must not modify; undefined while the process is down. */
  get state(): CoreState | undefined {
    return this.process?.state;
  }

  /** Whether the process with this number is still the current one. */
  isProcess(processNumber: number): boolean {
    return this.isUp && this.processNumber === processNumber;
  }

  /** Starts a process with empty state; `prepare` may modify the state before the first event. */
  start(prepare?: (state: CoreState) => void): void {
    if (this.process !== undefined) {
      return;
    }
    this.processNumber += 1;
    this.startedAt = this.environment.scheduler.now;
    this.process = this.createProcess();
    this.processState = 'running';
    prepare?.(this.process.state);
    this.environment.network.add(this);
    this.deliver({ type: 'started' });
  }

  /** Kills the process: its state is lost and its callers' connections break. */
  crash(): void {
    if (this.process !== undefined) {
      this.environment.disturbances.recordMomentary();
      this.terminateProcess(this.process);
    }
  }

  /** Pauses the process; its clock continues to advance. */
  pause(): void {
    if (this.processState === 'running') {
      this.processState = 'paused';
      this.environment.disturbances.begin(`paused ${this.name}`);
    }
  }

  /** Resumes a paused process, which then handles the events that arrived during the pause. */
  wake(): void {
    if (this.processState !== 'paused') {
      return;
    }
    this.processState = 'running';
    this.environment.disturbances.end(`paused ${this.name}`);
    for (const entry of this.drainInbox()) {
      if (entry.type === 'timer') {
        this.fireTimer(entry.entry);
      } else {
        this.deliver(entry.event);
      }
    }
  }

  /** Requests a planned stop of the process. */
  requestStop(): void {
    this.deliver({ type: 'stop-requested' });
  }

  /** Delivers a query to the node. */
  query(call: CallId, query: QueryRequest): void {
    this.deliver({ type: 'query-arrived', call, query });
  }

  /** Delivers an edit to the node. */
  edit(call: CallId, edit: EditRequest): void {
    this.deliver({ type: 'edit-requested', call, edit });
  }

  receiveDatagram(message: MembershipMessage): void {
    this.deliver({ type: 'datagram-arrived', message });
  }

  receiveLinkMessage(from: NodeId, message: LinkMessage): void {
    this.deliver({ type: 'link-message-arrived', from, message });
  }

  handleLinkLost(peer: NodeId): void {
    this.deliver({ type: 'link-lost', peer });
  }

  /** Delivers an event to the core, or queues it while the process is paused. */
  deliver(event: UnstampedEvent): void {
    if (this.processState === 'paused') {
      this.inbox.push({ type: 'event', event });
    } else if (this.process !== undefined) {
      this.runStep(this.process, event);
    }
  }

  private runStep(process: SimulatedProcess, unstamped: UnstampedEvent): void {
    const { step, observers, scheduler } = this.environment;
    const event = { ...unstamped, at: clockOf(process) } as Event;
    const effects = step(process.state, event);
    for (const observer of observers) {
      observer.stepped?.({
        at: scheduler.now,
        node: this.name,
        event,
        effects,
        state: process.state,
      });
    }
    for (const effect of effects) {
      if (this.process === process) {
        executeEffect(process, effect);
      }
    }
  }

  private terminateProcess(process: SimulatedProcess): void {
    process.timers.cancelAll();
    process.backends.terminate();
    this.environment.store.unwatch(this);
    this.process = undefined;
    this.processState = 'down';
    this.environment.disturbances.end(`paused ${this.name}`);
    this.inbox = [];
    this.environment.network.closeLinksOf(this.name);
    this.environment.calls.handleProcessEnd(this.name);
  }

  /** Ends the process after its core has completed a planned stop. */
  completePlannedStop(): void {
    const { process } = this;
    if (process !== undefined) {
      const openAttempts = process.backends.openAttempts;
      this.environment.observers.forEach((observer) =>
        observer.endedAsPlanned?.(this.name, openAttempts),
      );
      this.terminateProcess(process);
    }
  }

  private createProcess(): SimulatedProcess {
    const { scheduler, seed, random, policy } = this.environment;
    const { node, zone, region, address, seeds } = this.placement;
    const incarnation = VIRTUAL_EPOCH_MS + Math.floor(scheduler.now);
    const state = createCoreState({
      self: { node, zone, region, address, incarnation },
      seeds,
      seed: deriveSeed(seed, `${node}#${this.processNumber}`),
      policy,
    });
    return {
      node: this,
      environment: this.environment,
      state,
      timers: new Timers(scheduler, (entry) => {
        this.handleTimerExpiry(entry);
      }),
      backends: this.createBackends(),
      startedAt: scheduler.now,
      clockOffset: Math.floor(random.next() * CLOCK_OFFSET_RANGE_MS),
    };
  }

  private createBackends(): BackendClient {
    const { scheduler, network, findReplica, backendLatency } = this.environment;
    return new BackendClient({
      place: this,
      scheduler,
      reachability: network.reachability,
      findReplica,
      latency: backendLatency,
      onEnded: (attempt, outcome, serviceMs) => {
        const result = { attempt, outcome, queuedMs: 0, serviceMs };
        this.deliver({ type: 'attempts-ended', results: [result] });
      },
    });
  }

  private handleTimerExpiry(entry: SetTimerEntry): void {
    if (this.processState === 'paused') {
      this.inbox.push({ type: 'timer', entry });
    } else {
      this.fireTimer(entry);
    }
  }

  private fireTimer(entry: SetTimerEntry): void {
    if (this.process?.timers.removeExpired(entry) === true) {
      this.runStep(this.process, { type: 'timer-fired', key: entry.key });
    }
  }

  /** Empties the inbox, either timers or messages first: a real process may see either order. */
  private drainInbox(): InboxEntry[] {
    const entries = this.inbox;
    this.inbox = [];
    const timers = entries.filter((entry) => entry.type === 'timer');
    const events = entries.filter((entry) => entry.type === 'event');
    return this.environment.random.next() < 0.5 ? [...timers, ...events] : [...events, ...timers];
  }
}
