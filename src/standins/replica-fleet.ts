/** Runs all replicas of several deployments in one process, each on its own port. */
import type { ReplicaId } from '../core/identifiers.js';
import type { Deployment, PlacedReplica } from '../deployments/deployment.js';
import { FIRST_SNAPSHOT, type ReplicaAddresses } from '../deployments/initial-objects.js';
import { placeReplicas } from '../deployments/placement.js';
import type { ReplicaFaultChange } from './replica-model/replica-faults.js';
import { ReplicaServer } from './replica-server.js';

/** Options of a fleet. */
export interface ReplicaFleetOptions {
  readonly deployments: readonly Deployment[];
  readonly host: string;
  readonly seed: number;
  /** Returns the port of a replica; 0 or absent lets the kernel choose a free port. */
  readonly portOf?: (replica: ReplicaId) => number;
  /** Returns the round-trip time added to the requests of a replica, in milliseconds. */
  readonly networkDelayMs: (replica: PlacedReplica) => number;
  /** Factor on the service times of the deployments; 1 by default. */
  readonly serviceTimeFactor?: number;
}

/** A running replica. */
export interface FleetReplica {
  readonly placed: PlacedReplica;
  readonly server: ReplicaServer;
  readonly port: number;
}

const createServer = (
  placed: PlacedReplica,
  index: number,
  connectionOpeningMs: number,
  options: ReplicaFleetOptions,
): ReplicaServer =>
  new ReplicaServer({
    service: placed.service,
    slots: placed.group.slots,
    connections: placed.group.connections,
    connectionOpeningMs,
    medianServiceMs: placed.group.medianServiceMs * (options.serviceTimeFactor ?? 1),
    snapshots: [{ version: FIRST_SNAPSHOT, shardCount: placed.group.shardsPerService }],
    seed: options.seed * 10_007 + index,
    host: options.host,
    port: options.portOf?.(placed.replica) ?? 0,
    networkDelayMs: options.networkDelayMs(placed),
  });

/** Starts the replicas one by one and adds each to `replicas` as soon as it listens. */
const listenAll = async (
  options: ReplicaFleetOptions,
  replicas: Map<ReplicaId, FleetReplica>,
): Promise<void> => {
  for (const deployment of options.deployments) {
    for (const placed of placeReplicas(deployment)) {
      const connectionOpeningMs = deployment.connectionOpeningMs;
      const server = createServer(placed, replicas.size, connectionOpeningMs, options);
      const port = await server.listen();
      replicas.set(placed.replica, { placed, server, port });
    }
  }
};

/** A set of running replicas. */
export class ReplicaFleet {
  private constructor(
    readonly replicas: ReadonlyMap<ReplicaId, FleetReplica>,
    private readonly host: string,
  ) {}

  /** Starts all replicas; resolves when all are listening and rejects if one cannot listen. */
  static async start(options: ReplicaFleetOptions): Promise<ReplicaFleet> {
    const replicas = new Map<ReplicaId, FleetReplica>();
    const fleet = new ReplicaFleet(replicas, options.host);
    try {
      await listenAll(options, replicas);
      return fleet;
    } catch (error) {
      // Replicas that are already listening would keep the process alive.
      await fleet.close();
      throw error;
    }
  }

  /** Returns the address of a replica; the port is 0 if the replica is unknown. */
  readonly addressOf: ReplicaAddresses = (replica) => ({
    host: this.host,
    port: this.replicas.get(replica)?.port ?? 0,
  });

  /** Changes the faults of the replicas that match; returns their number. */
  async setFaults(
    matches: (placed: PlacedReplica) => boolean,
    change: ReplicaFaultChange,
  ): Promise<number> {
    const matching = [...this.replicas.values()].filter(({ placed }) => matches(placed));
    await Promise.all(matching.map(({ server }) => server.setFaults(change)));
    return matching.length;
  }

  /** Closes the ports and connections of all replicas. */
  async close(): Promise<void> {
    await Promise.all([...this.replicas.values()].map(({ server }) => server.close()));
  }
}
