/** Descriptions of deployments: zones, services, replicas and their sizes. */
import type { PartnerId, ReplicaId, ServiceName, ZoneName } from '../core/identifiers.js';
import type { RouteRow } from '../table/route-row.js';

/** Services with the same properties, numbered from 1 if there are several. */
export interface ServiceGroup {
  /** Name of the group and of its only service; several services append `-1`, `-2`, … */
  readonly name: string;
  readonly services: number;
  readonly replicasPerService: number;
  /** Number of requests that a replica runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections to a replica, over all nodes. */
  readonly connections: number;
  /** Number of shards of each service in the first snapshot. */
  readonly shardsPerService: number;
  /** Median time that a leg occupies a slot of a healthy replica, in milliseconds. */
  readonly medianServiceMs: number;
  /** Zones of the group's replicas; the zones of the deployment when absent. */
  readonly zones?: readonly ZoneName[];
}

/** One partner's deployment. */
export interface Deployment {
  readonly partner: PartnerId;
  readonly title: string;
  readonly region: string;
  readonly zones: readonly ZoneName[];
  /** One-way latency between zones, in milliseconds. */
  readonly zoneLatencyMs: number;
  /** One-way latency between clients and nodes, in milliseconds. */
  readonly clientLatencyMs: number;
  /** Time to open a connection to a replica, in milliseconds. */
  readonly connectionOpeningMs: number;
  readonly groups: readonly ServiceGroup[];
  /** The rows of the partner's first sheet. */
  readonly rows: readonly RouteRow[];
  /** Traffic of the rows. */
  readonly workload: readonly WorkloadItem[];
}

/** Traffic of one row: its share of the partner's queries and its number of distinct keys. */
export interface WorkloadItem {
  readonly row: RouteRow;
  /** Query rate relative to the partner's other rows; greater than 0. */
  readonly share: number;
  /** Number of distinct keys in queries of a row with fan-out `key`; 0 for other rows. */
  readonly keys: number;
}

/** Sizes of a deployment relative to today's; 1 is today's. */
export interface DeploymentScale {
  /** Factor on the number of services of each group. */
  readonly services: number;
  /** Factor on the number of replicas of each service. */
  readonly replicas: number;
}

/** A replica with its partner, service and zone. */
export interface PlacedReplica {
  readonly partner: PartnerId;
  readonly service: ServiceName;
  readonly replica: ReplicaId;
  readonly zone: ZoneName;
  readonly group: ServiceGroup;
}

/** Scales the numbers of services and replicas of a deployment; results are rounded up. */
export const scaleDeployment = (deployment: Deployment, scale: DeploymentScale): Deployment => ({
  ...deployment,
  groups: deployment.groups.map((group) => ({
    ...group,
    services: Math.ceil(group.services * scale.services),
    replicasPerService: Math.ceil(group.replicasPerService * scale.replicas),
  })),
});
