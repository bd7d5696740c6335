/** A tier of separate processes on loopback: the platform, the replicas of each partner and the nodes. */
import { request } from 'undici';
import { DEMO_PEER_SECRET, demoSecret } from '../deployments/demo-keys.js';
import type { Deployment, PlacedReplica } from '../deployments/deployment.js';
import { placeReplicas } from '../deployments/placement.js';
import { replicaPorts } from '../deployments/replica-ports.js';
import type { RevisionsBody, StatusBody } from '../operator-protocol/status-body.js';
import { RigProcess } from './child-process.js';
import { findFreePorts } from './free-ports.js';
import { pause, waitUntil } from './pause.js';

const HOST = '127.0.0.1';
const READY_WITHIN_MS = 20_000;
const READY_POLL_MS = 50;
const REQUEST_TIMEOUT_MS = 2_000;
/** Replica ports start below the kernel's range of ephemeral ports, so that both do not collide. */
const FIRST_REPLICA_PORT = 21_000;
const PORTS_PER_NODE = 3;
/**
 * A new tier grants no claims until its first keeper roster is written and its keepers grant new keys.
 */
const KEEPERS_READY_AFTER_MS = 5_000;

/** A node of the tier with its ports. */
export interface RigNode {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
  process: RigProcess;
}

/** A replica of the tier with its port. */
export interface RigReplica {
  readonly placed: PlacedReplica;
  readonly port: number;
  readonly url: string;
}

/** Options of a tier. */
export interface ProcessTierOptions {
  readonly deployments: readonly Deployment[];
  /** Path of the built `crossroad` entry point. */
  readonly script: string;
  readonly seed: number;
}

/** A running tier of separate processes. */
export class ProcessTier {
  readonly nodes: RigNode[] = [];
  private readonly replicaProcesses: RigProcess[] = [];
  private platformProcess: RigProcess | undefined;
  private platformPort = 0;

  private constructor(private readonly options: ProcessTierOptions) {}

  /**
   * Starts all processes, one node for each zone of the deployments.
   *
   * @throws Error when a process does not serve in time, after all started processes have ended
   */
  static async start(options: ProcessTierOptions): Promise<ProcessTier> {
    const tier = new ProcessTier(options);
    try {
      await tier.startAll();
    } catch (error) {
      await tier.close();
      throw error;
    }
    return tier;
  }

  /** The platform's process. */
  get platform(): RigProcess {
    if (this.platformProcess === undefined) {
      throw new Error('the platform has not been started');
    }
    return this.platformProcess;
  }

  /** Base URL of the platform. */
  get platformUrl(): string {
    return `http://${HOST}:${this.platformPort}`;
  }

  /** Base URLs of the caller ports of all nodes. */
  get callerUrls(): string[] {
    return this.nodes.map(({ callerPort }) => `http://${HOST}:${callerPort}`);
  }

  /** All replicas. */
  get replicas(): RigReplica[] {
    const portOf = replicaPorts(FIRST_REPLICA_PORT);
    return this.options.deployments.flatMap(placeReplicas).map((placed) => {
      const port = portOf(placed.replica);
      return { placed, port, url: `http://${HOST}:${port}` };
    });
  }

  /** Base URLs of all replicas. */
  get replicaUrls(): string[] {
    return this.replicas.map(({ url }) => url);
  }

  /** Base URL of a node's operator port. */
  operatorUrl(node: RigNode): string {
    return `http://${HOST}:${node.operatorPort}`;
  }

  /** Reads the status of the tier from a node; undefined when the node does not answer. */
  async readStatus(node: RigNode): Promise<StatusBody | undefined> {
    return this.readJson<StatusBody>(`${this.operatorUrl(node)}/v1/status`);
  }

  /** Reads the revisions in force at all nodes, as one node knows them; undefined when it does not answer. */
  async readRevisions(node: RigNode): Promise<RevisionsBody | undefined> {
    return this.readJson<RevisionsBody>(`${this.operatorUrl(node)}/v1/revisions`);
  }

  /** Sets faults of the platform. */
  async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post(`${this.platformUrl}/v1/faults`, faults);
  }

  /** Sets faults of one replica. */
  async setReplicaFaults(url: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post(`${url}/v1/faults`, faults);
  }

  /** Starts a new process for a node, at the same addresses. */
  restartNode(node: RigNode): void {
    node.process = this.startNodeProcess(node);
  }

  /** Resolves to whether the node reports within `withinMs` milliseconds that it serves. */
  async waitUntilServing(node: RigNode, withinMs: number): Promise<boolean> {
    const serves = async (): Promise<boolean> => (await this.readStatus(node))?.phase === 'serving';
    return waitUntil(serves, withinMs, READY_POLL_MS);
  }

  /** Kills all processes and waits until they have ended. */
  async close(): Promise<void> {
    const nodes = this.nodes.map(({ process }) => process);
    const others = [...this.replicaProcesses, ...(this.platformProcess ? [this.platform] : [])];
    for (const process of [...nodes, ...others].filter(({ runs }) => runs)) {
      process.signal('SIGCONT');
      process.signal('SIGKILL');
      await process.waitForExit();
    }
  }

  private get operatorSecret(): string {
    const partner = this.options.deployments[0]?.partner;
    return partner === undefined ? '' : demoSecret(partner, 'operator');
  }

  private async startAll(): Promise<void> {
    const zones = this.options.deployments.flatMap(({ zones, region }) =>
      zones.map((zone) => ({ zone, region })),
    );
    const ports = await findFreePorts(zones.length * PORTS_PER_NODE + 1);
    this.platformPort = ports.shift() ?? 0;
    this.startPlatformAndReplicas();
    await this.waitForAnswer(`${this.platformUrl}/v1/objects`, 'the platform');
    for (const { zone, region } of zones) {
      await this.addNode(zone, region, ports.splice(0, PORTS_PER_NODE));
    }
    for (const node of this.nodes) {
      await this.assertServing(node);
    }
    await pause(KEEPERS_READY_AFTER_MS);
  }

  private startPlatformAndReplicas(): void {
    const { seed, deployments, script } = this.options;
    const firstPort = String(FIRST_REPLICA_PORT);
    const listen = `${HOST}:${this.platformPort}`;
    const common = ['--seed', String(seed)];
    this.platformProcess = new RigProcess(
      'platform',
      script,
      ['platform', '--listen', listen, '--first-replica-port', firstPort, ...common],
      {},
    );
    for (const { partner } of deployments) {
      const args = ['replica', '--deployment', partner, '--first-port', firstPort, ...common];
      this.replicaProcesses.push(new RigProcess(`replicas of ${partner}`, script, args, {}));
    }
  }

  private async addNode(zone: string, region: string, ports: readonly number[]): Promise<void> {
    const [callerPort = 0, peerPort = 0, operatorPort = 0] = ports;
    const place = { name: `${zone}-1`, zone, region, callerPort, peerPort, operatorPort };
    this.nodes.push({ ...place, process: this.startNodeProcess(place) });
    const machine = { id: place.name, host: HOST, port: peerPort, zone, state: 'live' };
    await this.post(`${this.platformUrl}/v1/machines`, machine);
  }

  private startNodeProcess(place: Omit<RigNode, 'process'>): RigProcess {
    const listen = (port: number): string => `${HOST}:${port}`;
    const seeds = this.nodes.slice(0, 3).flatMap(({ peerPort }) => ['--seeds', listen(peerPort)]);
    const args = [
      'node',
      ...['--node', place.name, '--zone', place.zone, '--region', place.region],
      ...['--caller', listen(place.callerPort), '--peer', listen(place.peerPort)],
      ...['--operator', listen(place.operatorPort), '--platform', this.platformUrl],
      ...['--log-level', 'warn', ...seeds],
    ];
    const environment = { CROSSROAD_PEER_SECRET: DEMO_PEER_SECRET };
    return new RigProcess(place.name, this.options.script, args, environment);
  }

  private async assertServing(node: RigNode): Promise<void> {
    if (!(await this.waitUntilServing(node, READY_WITHIN_MS))) {
      throw new Error(`node ${node.name} does not serve; its output:\n${node.process.output}`);
    }
  }

  private async waitForAnswer(url: string, subject: string): Promise<void> {
    const answers = async (): Promise<boolean> => (await this.readJson(url)) !== undefined;
    if (!(await waitUntil(answers, READY_WITHIN_MS, READY_POLL_MS))) {
      throw new Error(`${subject} does not answer`);
    }
  }

  private async readJson<Body>(url: string): Promise<Body | undefined> {
    try {
      const { body } = await request(url, {
        headers: { authorization: `Bearer ${this.operatorSecret}` },
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return (await body.json()) as Body;
    } catch {
      return undefined;
    }
  }

  private async post(url: string, content: unknown): Promise<void> {
    const { statusCode, body } = await request(url, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(content),
    });
    await body.dump();
    if (statusCode >= 300) {
      throw new Error(`${url} answered ${statusCode}`);
    }
  }
}
