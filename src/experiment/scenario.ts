/**
 * A scenario: the deployments with their scale, the load, and the faults with their times. The same
 * scenario runs on real sockets and in simulation; all times are in milliseconds.
 */
import type { SnapshotVersion } from '../catalog/partner-index.js';
import type { DeploymentScale } from '../deployments/deployment.js';
import type { ReplicaFaultChange } from '../standins/replica-model/replica-faults.js';
import type { StoreFaultChange } from '../standins/store-model/store-faults.js';

/** Partners of the deployments. */
export const SCENARIO_PARTNERS = ['ensemble', 'tawe'] as const;

/** A partner whose deployment a scenario may run. */
export type ScenarioPartner = (typeof SCENARIO_PARTNERS)[number];

/** Selects replicas; a replica must match every field that is present. */
export interface ReplicaTarget {
  readonly partner?: ScenarioPartner;
  /** Name of a group of services, e.g. `booking-desk`. */
  readonly group?: string;
  readonly service?: string;
  readonly replica?: string;
  readonly zone?: string;
  /** Limits the selection to this many replicas of each service, in their order. */
  readonly firstOfService?: number;
}

/** Selects nodes by name or by zone. */
export interface NodeTarget {
  /** Name of the node: `{zone}-{number}`, numbered from 1 within its zone. */
  readonly node?: string;
  readonly zone?: string;
}

/** Actions on a node; see `NodeAction`. */
export const NODE_ACTIONS = ['kill', 'stop', 'start', 'pause', 'resume'] as const;

/**
 * An action on a node: `kill` terminates it immediately, `stop` shuts it down as SIGTERM does, `start`
 * restarts a killed or stopped node with empty memory, `pause` suspends its process and `resume`
 * continues it.
 */
export type NodeAction = (typeof NODE_ACTIONS)[number];

/** Changes the behaviour of replicas. */
export interface ReplicaFaultStep {
  readonly kind: 'replica-fault';
  readonly target: ReplicaTarget;
  readonly change: ReplicaFaultChange;
}

/** Drains replicas: they refuse new work immediately. */
export interface DrainStep {
  readonly kind: 'drain';
  readonly target: ReplicaTarget;
  /** Delay until the platform publishes that the replicas are leaving. */
  readonly publishAfterMs: number;
}

/** Changes the behaviour of the platform's store. */
export interface StoreFaultStep {
  readonly kind: 'store-fault';
  readonly change: StoreFaultChange;
}

/** Applies an action to nodes. */
export interface NodeFaultStep {
  readonly kind: 'node-fault';
  readonly target: NodeTarget;
  readonly action: NodeAction;
}

/** Partitions the network between the nodes of some zones and those of all other zones. */
export interface ZoneCutStep {
  readonly kind: 'zone-cut';
  readonly zones: readonly string[];
}

/** Heals all network partitions between zones. */
export interface ZoneHealStep {
  readonly kind: 'zone-heal';
}

/**
 * Rolls out the next snapshot: the layout is published, the replicas load the snapshot one after the
 * other during `overMs`, and all of them drop the previous snapshot at twice that time.
 */
export interface RollOutStep {
  readonly kind: 'roll-out';
  readonly partner: ScenarioPartner;
  readonly version: SnapshotVersion;
  readonly overMs: number;
  /** Shards added to each service: a repartition when above 0. */
  readonly addedShards: number;
}

/** Sets a factor on a partner's arrival rate from now on; 1 is the scenario's own rate. */
export interface LoadFactorStep {
  readonly kind: 'load-factor';
  readonly partner: ScenarioPartner;
  readonly factor: number;
}

/** An operator changes the weight of a row; the time until it is in force at all nodes is measured. */
export interface EditStep {
  readonly kind: 'edit';
  readonly partner: ScenarioPartner;
  readonly route: string;
  readonly requestKind: string;
  readonly weight: number;
}

/** All steps of a scenario. */
export type ScenarioStep =
  | ReplicaFaultStep
  | DrainStep
  | StoreFaultStep
  | NodeFaultStep
  | ZoneCutStep
  | ZoneHealStep
  | RollOutStep
  | LoadFactorStep
  | EditStep;

/** A step and when it runs, relative to the start of the measured part. */
export type ScenarioFault = { readonly atMs: number } & ScenarioStep;

/** The load of one partner. */
export interface ScenarioLoad {
  readonly partner: ScenarioPartner;
  /** Mean rate of the Poisson arrivals, over all routes and kinds together. */
  readonly queriesPerSecond: number;
  /** Routes to call; all routes of the partner when absent. */
  readonly routes?: readonly string[];
}

/** One scenario. */
export interface Scenario {
  readonly name: string;
  /** One line on what the scenario shows. */
  readonly title: string;
  readonly partners: readonly ScenarioPartner[];
  readonly scale: DeploymentScale;
  /** Group of the first partner's services that rows of the other partners with fan-out `all` use too. */
  readonly sharedGroup?: string;
  /** Nodes in each zone of the partners' deployments. */
  readonly nodesPerZone: number;
  /** Factor on the service times of the replicas. */
  readonly serviceTimeFactor: number;
  /** Duration of the load before the measured part. */
  readonly warmUpMs: number;
  /** Duration of the measured part. */
  readonly durationMs: number;
  readonly load: readonly ScenarioLoad[];
  /** Ordered by `atMs`. */
  readonly faults: readonly ScenarioFault[];
  /** Queries due earlier than this in the measured part are left out of the metrics. */
  readonly settleMs: number;
}

/** Query policies that experiments compare; see `VariantName`. */
export const VARIANT_NAMES = ['default', 'random', 'fixed-hedge'] as const;

/**
 * A query policy: `default` is the policy of the tier, `random` sends each leg to a random replica
 * without hedges, `fixed-hedge` hedges after a fixed delay without a budget.
 */
export type VariantName = (typeof VARIANT_NAMES)[number];

/** One run of a scenario. */
export interface ScenarioRun {
  readonly scenario: Scenario;
  readonly variant: VariantName;
  readonly seed: number;
}
