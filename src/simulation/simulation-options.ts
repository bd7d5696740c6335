/** Options of a simulation and of its nodes and replicas. */
import type { ReplicaStatus } from '../catalog/partner-index.js';
import type { QueryPolicy } from '../core/query/query-policy.js';
import type { HeldSnapshot } from '../standins/replica-model/replica-faults.js';
import type { NetworkConditions } from './network-conditions.js';
import type { StepFunction } from './node-environment.js';
import type { SimulationObserver } from './observer.js';
import type { MeasureMessage } from './virtual-network.js';

/** Options of a simulation. */
export interface SimulationOptions {
  /** Any integer; the same seed and script give the same run. */
  readonly seed: number;
  readonly network?: NetworkConditions;
  readonly clientLatencyMs?: number;
  /** Measures the encoded size of messages; traffic is not counted when absent. */
  readonly measure?: MeasureMessage;
  readonly observers?: readonly SimulationObserver[];
  /** Fields of the query policy that differ from the defaults. */
  readonly policy?: Partial<QueryPolicy>;
  /** Replaces the core's step function, so that tests can inject faults into the core. */
  readonly step?: StepFunction;
}

/** Options of a node. */
export interface NodeOptions {
  readonly node: string;
  readonly zone: string;
  readonly region?: string;
  /** Names of the seed nodes that the node contacts at its start. */
  readonly seeds?: readonly string[];
}

/** Options of a replica. */
export interface ReplicaOptions {
  readonly partner: string;
  readonly service: string;
  readonly status: ReplicaStatus;
  readonly snapshots: readonly HeldSnapshot[];
  readonly medianServiceMs?: number;
  readonly connectionOpeningMs?: number;
}
