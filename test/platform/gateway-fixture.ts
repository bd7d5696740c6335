/** Runs a gateway with stand-ins of the platform, and sends requests to it as a caller. */
import { setTimeout as delay } from 'node:timers/promises';
import { request as sendRequest, type IncomingHttpHeaders } from 'node:http';
import { platformProtocol } from '../../platform/protocol.js';
import {
  type GatewayLog,
  type RunningGateway,
  startGateway,
} from '../../src/gateway/runtime/start-gateway.js';
import type { WriteTrace } from '../../src/gateway/effect.js';
import type { HostPort } from '../../src/settings/node-settings.js';
import type { GatewaySettings } from '../../src/gateway/settings.js';
import { findOwnPorts, OWN_ADDRESS } from '../support/own-address.js';
import { GATEWAY_BOUNDS } from '../gateway/virtual-gateway.js';
import { configurationSpec, type LIMITS } from './operator-spec.js';
import { StandInReplica, type ReplicaBehaviour } from './stand-in-replica.js';
import { StandInStore } from './stand-in-store.js';

/** Records what a gateway logs. */
class RecordingLog implements GatewayLog {
  readonly lines: Parameters<GatewayLog['write']>[0][] = [];
  readonly traces: WriteTrace[] = [];

  write(line: Parameters<GatewayLog['write']>[0]): void {
    this.lines.push(line);
  }

  writeTrace(trace: WriteTrace): void {
    this.traces.push(trace);
  }
}

/** An answer as received by a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly elapsedMs: number;
}

/** A request of a caller. */
export interface CallerQuery {
  readonly id: string;
  readonly host?: string;
  readonly path: string;
  readonly method?: string;
  readonly budgetMs?: number;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Callers' address of the gateway to use; the first one by default. */
  readonly to?: HostPort;
}

/** Returns an address that only this test process uses, with a port that was free a moment ago. */
export const freeAddress = async (): Promise<HostPort> => {
  const [port = 0] = await findOwnPorts(1);
  return { host: OWN_ADDRESS, port };
};

/** Returns addresses for all ports of a gateway. */
const freeAddresses = async () => {
  const [callers, readiness, metrics, peers] = (await findOwnPorts(4)).map((port) => ({
    host: OWN_ADDRESS,
    port,
  })) as [HostPort, HostPort, HostPort, HostPort];
  return { callers, readiness, metrics, peers };
};

const PORT_ATTEMPTS = 5;

/** Starts a gateway. Uses other ports if a concurrent test has taken one that was free a moment ago. */
const startOnFreePorts = async (
  settings: GatewaySettings,
  log: GatewayLog,
  attemptsLeft = PORT_ATTEMPTS,
): Promise<readonly [RunningGateway, GatewaySettings]> => {
  try {
    return [await startGateway(settings, platformProtocol, log), settings];
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || attemptsLeft <= 1) {
      throw error;
    }
    return startOnFreePorts({ ...settings, ...(await freeAddresses()) }, log, attemptsLeft - 1);
  }
};

/** Waits until `condition` holds; throws after five seconds. */
export const until = async (condition: () => boolean, what: string): Promise<void> => {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls > 1_000) {
      throw new Error(`timed out waiting until ${what}`);
    }
    await delay(5);
  }
};

/** A store, replicas and a gateway in one process. */
export class GatewayFixture {
  readonly replicas = new Map<string, StandInReplica>();
  /** The log of the first gateway. */
  readonly log = new RecordingLog();
  private gatewayProcess: RunningGateway | undefined;
  private readonly peers: RunningGateway[] = [];
  private version = 0;

  private constructor(
    readonly store: StandInStore,
    public settings: GatewaySettings,
  ) {}

  static async create(): Promise<GatewayFixture> {
    const store = await StandInStore.start();
    const host = '127.0.0.1';
    return new GatewayFixture(store, {
      node: 'front-1',
      zone: 'bole',
      capacity: 1,
      firstStart: true,
      zoneRegions: { bole: 'addis', arada: 'addis', hall: 'wales' },
      ...(await freeAddresses()),
      seeds: [],
      store: { host, port: store.port },
      bounds: GATEWAY_BOUNDS,
      logLevel: 'error',
    });
  }

  /** Address at which metrics are served. */
  get metrics(): HostPort {
    if (this.settings.metrics === undefined) {
      throw new Error('the settings have no address for metrics');
    }
    return this.settings.metrics;
  }

  get gateway(): RunningGateway {
    if (this.gatewayProcess === undefined) {
      throw new Error('the gateway has not been started');
    }
    return this.gatewayProcess;
  }

  async startGateway(): Promise<void> {
    const [gateway, settings] = await startOnFreePorts(this.settings, this.log);
    this.gatewayProcess = gateway;
    this.settings = settings;
  }

  /** Starts the gateway and waits until it is ready. */
  async serve(): Promise<void> {
    await this.startGateway();
    await until(() => this.gateway.state.ready, 'the gateway is ready');
  }

  /** Starts a replica and lists it in the store. */
  async addReplica(
    id: string,
    service: string,
    behaviour: Partial<ReplicaBehaviour> = {},
    zone = 'bole',
  ): Promise<StandInReplica> {
    const replica = await StandInReplica.start(id, behaviour);
    this.replicas.set(id, replica);
    this.store.put('servers', id, replica.entry(service, zone));
    return replica;
  }

  /** Writes the next version of the configuration to the store; returns the version. */
  configure(
    routes: readonly unknown[],
    services: readonly string[],
    maxConnections = 26,
    limits: Partial<typeof LIMITS> = {},
    tenants?: unknown,
  ): number {
    this.version += 3;
    const { version } = this;
    const spec = configurationSpec(version, routes, services, maxConnections, limits, tenants);
    this.store.put('config', 'main', spec);
    return this.version;
  }

  /** Requests the metrics of the gateway. */
  async readMetrics(path = '/metrics'): Promise<{ status: number; text: string }> {
    const { host, port } = this.metrics;
    const answer = await fetch(`http://${host}:${port}${path}`);
    return { status: answer.status, text: await answer.text() };
  }

  async untilInForce(version: number): Promise<void> {
    const isInForce = (): boolean => this.gateway.state.inForce?.configuration.version === version;
    await until(isInForce, `version ${version} is in force`);
  }

  /** Sends a request as a caller, over a new connection. */
  request(query: CallerQuery): Promise<CallerAnswer> {
    const began = performance.now();
    return new Promise((resolve, reject) => {
      const outgoing = sendRequest(
        {
          ...(query.to ?? this.settings.callers),
          method: query.method ?? 'GET',
          path: query.path,
          agent: false,
          headers: {
            host: query.host ?? 'shop.example',
            'x-request-id': query.id,
            'x-time-budget-ms': String(query.budgetMs ?? 2_000),
            ...query.headers,
          },
          ...(query.signal && { signal: query.signal }),
        },
        (incoming) => {
          const chunks: Buffer[] = [];
          incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
          incoming.on('error', reject);
          incoming.on('end', () => {
            resolve({
              status: incoming.statusCode ?? 0,
              headers: incoming.headers,
              body: Buffer.concat(chunks),
              elapsedMs: performance.now() - began,
            });
          });
        },
      );
      outgoing.on('error', reject);
      outgoing.end(query.body);
    });
  }

  /** Starts another gateway with the same store. */
  async startPeer(node: string, capacity: number): Promise<RunningGateway> {
    const peerSettings = { ...this.settings, node, capacity, ...(await freeAddresses()) };
    const [peer] = await startOnFreePorts(peerSettings, new RecordingLog());
    this.peers.push(peer);
    return peer;
  }

  async stop(): Promise<void> {
    this.peers.forEach((peer) => peer.kill());
    this.gatewayProcess?.kill();
    await this.gatewayProcess?.ended;
    await Promise.all([...this.replicas.values()].map((replica) => replica.stop()));
    await this.store.stop();
  }
}
