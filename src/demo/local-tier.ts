/** Runs a complete tier on loopback in one process: platform, replicas and nodes. */
import { periodOf } from '../core/keepers/find-roster.js';
import type { QueryPolicy } from '../core/query/query-policy.js';
import { DEMO_PEER_SECRET } from '../deployments/demo-keys.js';
import type { Deployment, PlacedReplica } from '../deployments/deployment.js';
import { buildInitialObjects } from '../deployments/initial-objects.js';
import type { RunningNode } from '../runtime/running-node.js';
import { startNode } from '../runtime/start-node.js';
import type { HostPort, NodeSettings } from '../settings/node-settings.js';
import { PlatformServer } from '../standins/platform-server.js';
import { ReplicaFleet } from '../standins/replica-fleet.js';
import type { ExecutionRecord } from '../standins/replica-model/leg-exchange.js';

const HOST = '127.0.0.1';
const ANY_PORT: HostPort = { host: HOST, port: 0 };
/** Time until all nodes must be ready, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;
const READY_POLL_MS = 10;

/** Name, zone and region of a node of the tier. */
export interface NodePlace {
  readonly node: string;
  readonly zone: string;
  readonly region: string;
}

/** Options of a local tier. */
export interface LocalTierOptions {
  readonly deployments: readonly Deployment[];
  readonly nodes: readonly NodePlace[];
  readonly seed: number;
  readonly serviceTimeFactor?: number;
  /** Fields of the nodes' query policy that differ from the defaults. */
  readonly policy?: Partial<QueryPolicy>;
}

const listPlacesByZone = (deployments: readonly Deployment[]): NodePlace[] => {
  const longest = Math.max(...deployments.map(({ zones }) => zones.length));
  return Array.from({ length: longest }, (_, index) =>
    deployments.flatMap(({ zones, region }) => {
      const zone = zones[index];
      return zone === undefined ? [] : [{ node: `${zone}-1`, zone, region }];
    }),
  ).flat();
};

/** Returns places for `count` nodes in different zones, alternating between the deployments. */
export const placesInZones = (deployments: readonly Deployment[], count: number): NodePlace[] =>
  listPlacesByZone(deployments).slice(0, count);

/** Returns places for `perZone` nodes in each zone of the deployments. */
export const placesPerZone = (deployments: readonly Deployment[], perZone: number): NodePlace[] =>
  listPlacesByZone(deployments).flatMap((place) =>
    Array.from({ length: perZone }, (_, index) => ({
      ...place,
      node: `${place.zone}-${index + 1}`,
    })),
  );

/**
 * Returns the round trip that a replica adds, in milliseconds: the latency between zones if its
 * zone has no node, because its legs then come from another zone; 0 otherwise.
 */
const networkDelay =
  (options: LocalTierOptions) =>
  ({ partner, zone }: PlacedReplica): number => {
    const deployment = options.deployments.find((candidate) => candidate.partner === partner);
    const hasNodeInZone = options.nodes.some((place) => place.zone === zone);
    return hasNodeInZone || deployment === undefined ? 0 : 2 * deployment.zoneLatencyMs;
  };

/** Whether a node serves and holds a roster of keepers; without one, it refuses bookings. */
const isReady = ({ state }: RunningNode): boolean =>
  state.phase === 'serving' && state.configuration.inForce.rosters.has(periodOf(Date.now()));

/** A running tier. */
export class LocalTier {
  private readonly running = new Map<string, RunningNode>();

  private constructor(
    private readonly options: LocalTierOptions,
    readonly platform: PlatformServer,
    readonly fleet: ReplicaFleet,
    private readonly platformUrl: string,
  ) {}

  /** Starts the tier; resolves when all nodes are ready for all request kinds. */
  static async start(options: LocalTierOptions): Promise<LocalTier> {
    const fleet = await ReplicaFleet.start({
      deployments: options.deployments,
      host: HOST,
      seed: options.seed,
      networkDelayMs: networkDelay(options),
      ...(options.serviceTimeFactor === undefined
        ? {}
        : { serviceTimeFactor: options.serviceTimeFactor }),
    });
    const platform = new PlatformServer({
      ...ANY_PORT,
      objects: buildInitialObjects(options.deployments, fleet.addressOf),
      seed: options.seed,
    });
    const port = await platform.listen();
    const tier = new LocalTier(options, platform, fleet, `http://${HOST}:${port}`);
    for (const place of options.nodes) {
      await tier.startNode(place.node);
    }
    await tier.waitUntilReady();
    return tier;
  }

  /** Places of all nodes, running or not. */
  get places(): readonly NodePlace[] {
    return this.options.nodes;
  }

  /** Running nodes, by name. */
  get nodes(): ReadonlyMap<string, RunningNode> {
    return this.running;
  }

  /** Base URLs of the caller ports of the running nodes. */
  get callerUrls(): string[] {
    return [...this.running.values()].map(({ ports }) => `http://${HOST}:${ports.caller}`);
  }

  /** Returns the base URLs of the caller ports of the running nodes in `zones`. */
  callerUrlsIn(zones: readonly string[]): string[] {
    return this.places
      .filter(({ zone }) => zones.includes(zone))
      .flatMap(({ node }) => this.running.get(node) ?? [])
      .map(({ ports }) => `http://${HOST}:${ports.caller}`);
  }

  /** Base URLs of the operator ports of the running nodes. */
  get operatorUrls(): string[] {
    return [...this.running.values()].map(({ ports }) => `http://${HOST}:${ports.operator}`);
  }

  /** Base URLs of all replicas. */
  get replicaUrls(): string[] {
    return [...this.fleet.replicas.values()].map(({ port }) => `http://${HOST}:${port}`);
  }

  /** Starts the node of that name; rejects if the tier has no place for it. */
  async startNode(name: string): Promise<RunningNode> {
    const index = this.options.nodes.findIndex(({ node }) => node === name);
    const place = this.options.nodes[index];
    if (place === undefined) {
      throw new Error(`the tier has no place for node ${name}`);
    }
    const node = await startNode(this.settingsOf(place, index), {
      ...(this.options.policy && { policy: this.options.policy }),
    });
    this.running.set(name, node);
    this.platform.model.changeMachine(performance.now(), {
      id: name,
      host: HOST,
      port: node.ports.peer,
      zone: place.zone,
      state: 'live',
    });
    return node;
  }

  /** Ends a node immediately (`kill`) or with a planned stop (`stop`). */
  async endNode(name: string, how: 'kill' | 'stop'): Promise<void> {
    const node = this.running.get(name);
    this.running.delete(name);
    await (how === 'kill' ? node?.kill() : node?.stop());
    this.platform.model.changeMachine(performance.now(), { id: name, state: 'gone' });
  }

  /** Returns the requests that ran at all replicas. */
  ran(): ExecutionRecord[] {
    return [...this.fleet.replicas.values()].flatMap(({ server }) => server.model.ran);
  }

  /** Performs a planned stop of all nodes, then closes the replicas and the platform. */
  async close(): Promise<void> {
    await Promise.all([...this.running.keys()].map((name) => this.endNode(name, 'stop')));
    await Promise.all([this.fleet.close(), this.platform.close()]);
  }

  /** Resolves when every running node is ready; rejects after `READY_TIMEOUT_MS`. */
  async waitUntilReady(): Promise<void> {
    const deadlineAt = performance.now() + READY_TIMEOUT_MS;
    while (![...this.running.values()].every(isReady)) {
      if (performance.now() > deadlineAt) {
        throw new Error(`not all nodes are ready after ${READY_TIMEOUT_MS} ms`);
      }
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
  }

  private settingsOf(place: NodePlace, index: number): NodeSettings {
    return {
      ...place,
      caller: ANY_PORT,
      peer: ANY_PORT,
      operator: ANY_PORT,
      platform: this.platformUrl,
      seeds: [...this.running.values()].map(({ ports }) => ({ host: HOST, port: ports.peer })),
      peerSecret: DEMO_PEER_SECRET,
      logLevel: 'error',
      seed: this.options.seed * 1_009 + index,
    };
  }
}
