/** What a simulation, its nodes and its replicas are created from. */
import type { ReplicaStatus } from '../catalog/partner-index.js';
import type { QueryPolicy } from '../core/query/query-policy.js';
import type { HeldSnapshot } from '../standins/replica-model/replica-faults.js';
import type { NetworkConditions } from './network-conditions.js';
import type { StepFunction } from './node-environment.js';
import type { SimulationObserver } from './observer.js';
import type { MeasureMessage } from './virtual-network.js';

/** What a simulation is created from. */
export interface SimulationOptions {
  /** Any integer; the same seed and script give the same run. */
  readonly seed: number;
  readonly network?: NetworkConditions;
  readonly clientLatencyMs?: number;
  /** Counts the bytes of messages where given. */
  readonly measure?: MeasureMessage;
  readonly observers?: readonly SimulationObserver[];
  /** Switches of the query path that differ from the defaults. */
  readonly policy?: Partial<QueryPolicy>;
  /** Replaces the core's step, so that a test can break it. */
  readonly step?: StepFunction;
}

/** A node to add. */
export interface NodeOptions {
  readonly node: string;
  readonly zone: string;
  readonly region?: string;
  /** Nodes it knows at its start. */
  readonly seeds?: readonly string[];
}

/** A replica to add. */
export interface ReplicaOptions {
  readonly partner: string;
  readonly service: string;
  readonly status: ReplicaStatus;
  readonly snapshots: readonly HeldSnapshot[];
  readonly medianServiceMs?: number;
  readonly connectionOpeningMs?: number;
}
