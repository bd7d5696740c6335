/** Builds a simulated tier from deployments. */
import type { ReplicaStatus } from '../catalog/partner-index.js';
import type { Deployment, ServiceGroup } from '../deployments/deployment.js';
import { buildInitialObjects, FIRST_SNAPSHOT } from '../deployments/initial-objects.js';
import type { Simulation } from './simulation.js';

/** Description of a tier: the deployments it serves and its nodes. */
export interface World {
  readonly deployments: readonly Deployment[];
  readonly nodesPerZone: number;
  /** Seed nodes of every node; the first node of each zone when absent. */
  readonly seeds?: readonly string[];
  /** Maximum number of nodes over all zones; no limit when absent. */
  readonly nodeLimit?: number;
}

/** Port of all simulated replicas; each replica has its own host. */
const REPLICA_PORT = 9_000;

/** Returns the name of a zone's node; `index` counts from 0. */
export const nodeName = (zone: string, index: number): string => `${zone}-${index + 1}`;

const findGroup = (deployment: Deployment, service: string): ServiceGroup => {
  const group = deployment.groups.find(({ name, services }) =>
    services === 1 ? name === service : service.replace(/-\d+$/, '') === name,
  );
  if (group === undefined) {
    throw new Error(`service ${service} does not belong to any group of ${deployment.partner}`);
  }
  return group;
};

/** Adds a replica unless another partner that shares it has already published it. */
const addReplica = (
  simulation: Simulation,
  deployment: Deployment,
  service: string,
  status: ReplicaStatus,
): void => {
  if (simulation.replicas.has(status.replica)) {
    return;
  }
  const group = findGroup(deployment, service);
  simulation.addReplica({
    partner: deployment.partner,
    service,
    status,
    snapshots: [{ version: FIRST_SNAPSHOT, shardCount: group.shardsPerService }],
    medianServiceMs: group.medianServiceMs,
    connectionOpeningMs: deployment.connectionOpeningMs,
  });
};

const addBackends = (simulation: Simulation, deployments: readonly Deployment[]): void => {
  const addressOf = (replica: string): { host: string; port: number } => ({
    host: replica,
    port: REPLICA_PORT,
  });
  for (const { name, content } of buildInitialObjects(deployments, addressOf)) {
    simulation.store.put(name, content);
    const deployment = deployments.find(
      ({ partner }) => content.type === 'status' && content.status.partner === partner,
    );
    if (content.type === 'status' && deployment !== undefined) {
      for (const status of content.status.replicas) {
        addReplica(simulation, deployment, content.status.service, status);
      }
    }
  }
};

/** Writes the initial objects and adds replicas and nodes; does not start the nodes. */
export const buildWorld = (simulation: Simulation, world: World): void => {
  addBackends(simulation, world.deployments);
  const zones = world.deployments.flatMap(({ region, zones: names }) =>
    names.map((zone) => ({ zone, region })),
  );
  const limit = world.nodeLimit ?? Infinity;
  const seeds = world.seeds ?? zones.map(({ zone }) => nodeName(zone, 0));
  for (let index = 0; index < world.nodesPerZone; index += 1) {
    for (const { zone, region } of zones.slice(0, limit - simulation.nodes.size)) {
      simulation.addNode({ node: nodeName(zone, index), zone, region, seeds });
    }
  }
};

/** Starts all nodes that are not running. */
export const startNodes = (simulation: Simulation): void => {
  for (const node of simulation.nodes.values()) {
    node.start();
  }
};
