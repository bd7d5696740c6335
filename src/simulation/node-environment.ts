/** The parts of a simulation that a simulated node uses. */
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import type { CallId, NodeId } from '../core/identifiers.js';
import type { QueryPolicy } from '../core/query/query-policy.js';
import type { QueryOutcome } from '../core/query/query-request.js';
import type { Random } from '../core/random.js';
import type { CoreState } from '../core/state.js';
import type { NodeIdentity, PeerAddress } from '../protocol/node-address.js';
import type { EditOutcome } from '../table/edit.js';
import type { BackendLatency, FindReplica } from './backend-client.js';
import type { SimulationObserver } from './observer.js';
import type { DisturbanceTracker } from './disturbance-tracker.js';
import type { Scheduler } from './scheduler.js';
import type { SimulatedStore } from './simulated-store.js';
import type { VirtualNetwork } from './virtual-network.js';

/** Wall-clock time at which every simulation begins, in milliseconds since 1970. */
export const VIRTUAL_EPOCH_MS = Date.UTC(2026, 0, 1);

/** An event without the timestamp of the node's clock. */
export type UnstampedEvent = Event extends infer E
  ? E extends Event
    ? Omit<E, 'at'>
    : never
  : never;

/** The step function of a node's core; tests wrap the real one to inject faults. */
export type StepFunction = (state: CoreState, event: Event) => Effect[];

/** Receives the outcomes of a node's calls. */
export interface CallListener {
  answerCaller(call: CallId, outcome: QueryOutcome): void;
  answerOperator(call: CallId, outcome: EditOutcome): void;
  /** Called when the node's process has ended; its open calls are lost. */
  handleProcessEnd(node: NodeId): void;
}

/** Components that all nodes of a simulation share. */
export interface NodeEnvironment {
  readonly scheduler: Scheduler;
  readonly network: VirtualNetwork;
  readonly store: SimulatedStore;
  readonly findReplica: FindReplica;
  readonly backendLatency: BackendLatency;
  readonly observers: readonly SimulationObserver[];
  readonly calls: CallListener;
  readonly disturbances: DisturbanceTracker;
  readonly random: Random;
  readonly seed: number;
  readonly step: StepFunction;
  readonly policy: Partial<QueryPolicy>;
}

/** A node's name, location, address and seed nodes. */
export interface NodePlacement {
  readonly node: NodeId;
  readonly zone: NodeIdentity['zone'];
  readonly region: string;
  readonly address: PeerAddress;
  readonly seeds: readonly PeerAddress[];
}
