/** The result of a plan. */
import type { Finding } from '../table/finding.js';

/** Load of one group of replicas, and the share of each feeder. */
export interface GroupPlan {
  readonly name: string;
  readonly replicas: number;
  /** Slots of all replicas together. */
  readonly slots: number;
  /** Slots of a replica that each of its feeders may use. */
  readonly slotsOfFeeder: number;
  /** Connections of a replica that each of its feeders may use. */
  readonly connectionsOfFeeder: number;
  /** Legs a second, including extra load. */
  readonly legsPerSecond: number;
  /** Legs a second that all slots can process. */
  readonly capacity: number;
  /** Ratio of the load to the capacity: 0 to 1, and above 1 if overloaded. */
  readonly utilization: number;
}

/** Queries of one row, and a node's grants of its limits. */
export interface RoutePlan {
  readonly name: string;
  readonly queriesPerSecond: number;
  /** Legs per query. */
  readonly legs: number;
  /** Queries in progress at once, over all nodes, if no leg waits for a slot. */
  readonly concurrent: number;
  /** Mean grant of a node; absent if the row has no such limit. */
  readonly concurrentGrant?: number;
  readonly perSecondGrant?: number;
}

/** Work of one node, as the mean over all nodes. */
export interface NodePlan {
  readonly queriesPerSecond: number;
  /** Replicas that the node feeds. */
  readonly replicasFed: number;
  /**
   * Replicas fed by a node with an uneven share from rendezvous hashing: mean plus three
   * deviations.
   */
  readonly replicasFedAtMost: number;
  /** Connections to replicas, if each feeder opens as many as it may. */
  readonly connections: number;
  /** Legs a second that the node sends to replicas. */
  readonly legsFed: number;
  /** Other nodes that a query of the node is sent to. */
  readonly peersOfQuery: number;
  /** Messages a second that the node sends and receives. */
  readonly messages: number;
  /** Processor time used, in cores. */
  readonly busyCores: number;
  /** Processes of one core each that are needed for this work at the target utilization. */
  readonly processes: number;
}

/** A plan. */
export interface Plan {
  readonly groups: readonly GroupPlan[];
  readonly routes: readonly RoutePlan[];
  readonly node: NodePlan;
  /** Errors for what does not fit, warnings for little spare capacity. */
  readonly findings: readonly Finding[];
}
