/** The deployment of a run: store, links, replicas, gateways, operator and callers. */
import type { GatewaySettings } from '../../src/gateway/settings.js';
import { StandInStore } from '../../test/platform/stand-in-store.js';
import { createObservations, type Observations } from '../model/observations.js';
import type { SoakPlan } from '../model/plan.js';
import { streamOf } from '../model/random-streams.js';
import { Callers } from './callers.js';
import { ConcurrentCallers } from './concurrent-callers.js';
import { type GatewayContext, GatewayProcess } from './gateway-process.js';
import { Operator } from './operator.js';
import { findConsecutivePorts } from './ports.js';
import { ReplicaFleet } from './replica-fleet.js';
import { LongCallers } from './long-callers.js';
import { LoopbackLink } from './loopback-link.js';
import { StoreBackups } from './store-backups.js';
import { TenantCallers } from './tenant-callers.js';
import { KEYS, TenantRoster } from './tenants.js';
import { zoneOf, zoneRegionsOf } from './topology.js';

const HOST = '127.0.0.1';

/** One port each for callers, readiness and peers. */
const PORTS_PER_GATEWAY = 3;

/** Processor share of a gateway on the users' machines. */
const PROCESSOR_SHARE = 0.675;

/** The gateway program and the folder for its files. */
export type ProgramFiles = Omit<GatewayContext, 'observations'>;

/** A running deployment. */
export class SoakWorld {
  readonly observations: Observations = createObservations();
  readonly gateways: GatewayProcess[] = [];
  /** Proxies between the gateways and the store, one per gateway. */
  readonly storeLinks: LoopbackLink[] = [];
  /** Proxies in front of the peer ports, one per gateway; empty if the plan has no peer links. */
  readonly peerLinks: LoopbackLink[] = [];
  readonly replicas: ReplicaFleet;
  readonly storeBackups: StoreBackups;
  readonly operator: Operator;
  readonly callers: Callers;
  readonly tenantCallers: TenantCallers;
  private readonly longCallers: LongCallers;
  private readonly concurrentCallers: ConcurrentCallers;

  private constructor(
    readonly store: StandInStore,
    private readonly plan: SoakPlan,
  ) {
    const { seed, maxConnections, bounds } = plan;
    const { observations } = this;
    store.era = 1;
    this.storeBackups = new StoreBackups(store);
    this.replicas = new ReplicaFleet(store, observations, {
      drainMs: bounds.drainMs,
      poisonCrashDelayMs: plan.poisonCrashDelayMs,
      publishesStartTimes: plan.publishesStartTimes,
      shardSlots: plan.shardSlots,
    });
    const random = streamOf(seed, 'operator');
    this.operator = new Operator(
      store,
      observations,
      random,
      maxConnections,
      ...(plan.hasTenants ? [new TenantRoster()] : []),
    );
    this.callers = new Callers({
      seed,
      observations,
      operator: this.operator,
      identity: plan.hasTenants ? { apiKey: KEYS.main } : {},
    });
    this.tenantCallers = new TenantCallers(this.callers);
    this.longCallers = new LongCallers(this.callers);
    this.concurrentCallers = new ConcurrentCallers(this.callers);
  }

  /** Starts everything except the callers. */
  static async start(plan: SoakPlan, files: ProgramFiles): Promise<SoakWorld> {
    const world = new SoakWorld(await StandInStore.start(), plan);
    await world.replicas.start();
    world.operator.configure();
    await world.startGateways(files);
    return world;
  }

  startCallers(): void {
    this.gateways.forEach((gateway) => this.startCallersOf(gateway));
  }

  startPoisonCallers(): void {
    this.plan.poisonRequests.forEach((request, number) =>
      this.callers.startPoisonCallers(this.gateways, request, number),
    );
  }

  /** Stops all callers; resolves when the requests in progress have ended. */
  async stopCallers(): Promise<void> {
    await Promise.all([
      this.tenantCallers.stop(),
      this.longCallers.stop(),
      this.concurrentCallers.stop(),
    ]);
    await this.callers.stop();
  }

  /** Stops everything that was started. */
  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all([...this.storeLinks, ...this.peerLinks].map((link) => link.close()));
    this.storeBackups.stop();
    await this.replicas.stop();
    await this.store.stop();
  }

  private startCallersOf(gateway: GatewayProcess): void {
    const { seed, callersPerGateway, concurrentCallers, ...plan } = this.plan;
    this.callers.startCallers(gateway, callersPerGateway);
    if (plan.hasTenants) {
      this.tenantCallers.start(gateway, streamOf(seed, 'tenant-callers', gateway.number));
    }
    if (plan.hasFailingServices) {
      this.callers.startFrequentCallers(gateway);
    }
    if (plan.hasLongRequests) {
      this.longCallers.start(gateway, streamOf(seed, 'long-callers', gateway.number));
    }
    if (concurrentCallers !== undefined) {
      // Stream 0 draws the plan.
      const random = streamOf(seed, 'concurrent-callers', 1 + gateway.number);
      this.concurrentCallers.start(gateway, concurrentCallers.linkDelayMs, random);
    }
  }

  private async startGateways(files: ProgramFiles): Promise<void> {
    const { gateways: count } = this.plan;
    const firstPort = await findConsecutivePorts(count * PORTS_PER_GATEWAY);
    const context = { ...files, observations: this.observations };
    for (let number = 0; number < count; number += 1) {
      await this.addGateway(number, firstPort + number * PORTS_PER_GATEWAY, context);
    }
    await Promise.all(this.gateways.map((gateway) => gateway.start()));
  }

  private async addGateway(
    number: number,
    firstPort: number,
    context: GatewayContext,
  ): Promise<void> {
    const storeLink = await LoopbackLink.open(this.store.port);
    this.storeLinks.push(storeLink);
    const settings = this.settingsOf(number, firstPort, storeLink);
    if (!this.plan.usesPeerLinks) {
      this.gateways.push(new GatewayProcess(number, settings, context));
      return;
    }
    const peerLink = await LoopbackLink.open(settings.peers.port);
    this.peerLinks.push(peerLink);
    const peers = { host: HOST, port: peerLink.port };
    this.gateways.push(new GatewayProcess(number, settings, context, peers));
  }

  private settingsOf(number: number, firstPort: number, link: LoopbackLink): GatewaySettings {
    const address = (index: number) => ({ host: HOST, port: firstPort + index });
    return {
      node: `front-${number + 1}`,
      zone: zoneOf(number),
      capacity: PROCESSOR_SHARE,
      firstStart: true,
      zoneRegions: zoneRegionsOf(this.plan.hasRegionPerZone),
      callers: address(0),
      readiness: address(1),
      peers: address(2),
      seeds: [],
      store: { host: HOST, port: link.port },
      bounds: this.plan.bounds,
      logLevel: 'info',
    };
  }
}
