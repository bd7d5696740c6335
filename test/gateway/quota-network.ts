/**
 * Several gateways that keep the limits of tenants, in virtual time: clocks of different rates, messages that are delayed,
 * reordered and lost, and gateways that are killed, paused, cut off from each other or from the store, added and removed.
 */
import { createRandom, type Random } from '../../src/core/random.js';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { GatewayEvent, RequestReceived } from '../../src/gateway/event.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { PeerRequest } from '../../src/gateway/model/peer-request.js';
import type { CallId } from '../../src/gateway/model/request.js';
import type { Tenant } from '../../src/gateway/model/tenant.js';
import { removeWaitingCall, returnToken, takeToken } from '../../src/gateway/quotas/take-token.js';
import { step } from '../../src/gateway/reducer.js';
import type { GatewayBounds } from '../../src/gateway/settings.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/state.js';
import { GATEWAY_BOUNDS, replicaRecord, routeTo, success } from './virtual-gateway.js';

const HOST = { host: '10.0.0.1', port: 1 };

/** One-way delay between two gateways, in milliseconds. */
const LINK_MS = 1.4;

/** Interval at which gateways in contact with the store confirm that, in milliseconds. */
const CONFIRM_MS = 500;

/** Quota bounds of a tier whose tenants have quotas. */
export const QUOTA_BOUNDS: GatewayBounds = {
  ...GATEWAY_BOUNDS,
  quotaWindowMs: 5_000,
  quotaOvershoot: 0.1,
  quotaSlack: 20,
};

/** A route with a short objective. */
export const ALERTS = routeTo({ type: 'service', service: 'alerts' }, { objectiveMs: 57.6 });

/** A tenant with a limit. */
export const tenantOf = (name: string, ratePerSecond: number, burst: number): Tenant => ({
  name,
  keyDigests: [`key of ${name}`],
  limit: { ratePerSecond, burst },
});

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A request that was admitted or refused. */
export interface Outcome {
  readonly at: number;
  readonly tenant: string;
  readonly gateway: string;
  /** `granted`, `unrun` if it was admitted and ended without having run, or the reason of the refusal. */
  readonly result: string;
  readonly retryAfterMs?: number;
  /** How long it waited for the decision, in milliseconds. */
  readonly waitedMs: number;
}

/** One gateway. */
export class QuotaGateway {
  state: GatewayState;
  incarnation = 0;
  alive = true;
  pausedUntil = 0;
  storeReachable = true;
  readonly pending = new Map<CallId, { readonly tenant: string; readonly sentAt: number }>();

  constructor(
    readonly record: PeerRecord,
    readonly clockRate: number,
    private readonly bounds: GatewayBounds,
  ) {
    this.state = createGatewayState(this.settings(true), 1);
  }

  get name(): string {
    return this.record.name;
  }

  settings(firstStart: boolean): GatewayState['settings'] {
    return {
      node: this.record.name,
      zone: 'bole',
      capacity: 1,
      firstStart,
      zoneRegions: { bole: 'addis' },
      callers: HOST,
      readiness: HOST,
      peers: HOST,
      seeds: [],
      store: HOST,
      bounds: this.bounds,
      logLevel: 'error',
    };
  }
}

/** The gateways and the clock. */
export class QuotaNetwork {
  readonly gateways: QuotaGateway[] = [];
  readonly outcomes: Outcome[] = [];
  readonly logs: string[] = [];
  now = 0;
  /** Messages sent, without those of the store. */
  messages = 0;
  /** Largest additional delay of a message, in milliseconds, and the share of messages that have one. */
  lateMs = 0;
  lateShare = 0;
  /** Share of messages that are lost. */
  lossShare = 0;
  /** Share of admitted requests that end without having run, after up to `unrunMs`. */
  unrunShare = 0;
  unrunMs = 3_000;
  isCut: (from: string, to: string) => boolean = () => false;
  tenants: readonly Tenant[];
  private readonly queue: Scheduled[] = [];
  private readonly random: Random;
  private order = 0;
  private nextCall = 1;
  private version = 1;
  private listed: PeerRecord[] = [];

  constructor(
    count: number,
    tenants: readonly Tenant[],
    seed = 1,
    isFirstStart = true,
    private readonly bounds = QUOTA_BOUNDS,
  ) {
    this.random = createRandom(seed);
    this.tenants = tenants;
    for (let index = 0; index < count; index += 1) {
      this.create(`g${index}`);
    }
    this.listed = this.gateways.map(({ record }) => record);
    this.gateways.forEach((gateway) => this.start(gateway, isFirstStart));
  }

  gateway(index: number): QuotaGateway {
    const gateway = this.gateways[index % this.gateways.length];
    if (gateway === undefined) {
      throw new Error('no gateways');
    }
    return gateway;
  }

  /** The owner of a tenant and the backups, as gateway 0 asks them. */
  keepersOf(tenant: string, from = this.gateway(0)): readonly QuotaGateway[] {
    const { asked } = from.state.quotas.owners.rank(tenant, from.name, this.localTime(from));
    return asked.flatMap(({ name }) => this.gateways.filter((gateway) => gateway.name === name));
  }

  /** Adds a gateway to the list; it starts at once. */
  add(name: string): QuotaGateway {
    const gateway = this.create(name);
    this.start(gateway, false);
    this.listed = [...this.listed, gateway.record];
    this.publishList();
    return gateway;
  }

  /** Removes a gateway from the list; the process continues. */
  unlist(gateway: QuotaGateway): void {
    this.listed = this.listed.filter(({ name }) => name !== gateway.name);
    this.publishList();
  }

  configure(tenants: readonly Tenant[]): void {
    this.tenants = tenants;
    this.version += 1;
    this.gateways.forEach((gateway) => this.readStore(gateway));
  }

  kill(gateway: QuotaGateway): void {
    gateway.alive = false;
    gateway.incarnation += 1;
    gateway.pending.clear();
  }

  /** Starts a process that was killed. */
  restart(gateway: QuotaGateway): void {
    if (!gateway.alive) {
      gateway.alive = true;
      gateway.pausedUntil = 0;
      this.start(gateway, false);
    }
  }

  /** Restores or breaks the contact of a gateway with the store. */
  setStore(gateway: QuotaGateway, reachable: boolean): void {
    gateway.storeReachable = reachable;
    this.readStore(gateway);
  }

  at(time: number, run: () => void): void {
    this.order += 1;
    const entry = { at: time, order: this.order, run };
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.queue[middle];
      if (other !== undefined && other.at <= time) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.queue.splice(low, 0, entry);
  }

  runUntil(time: number): void {
    for (;;) {
      const [first] = this.queue;
      if (first === undefined || first.at > time) {
        break;
      }
      this.queue.shift();
      this.now = Math.max(this.now, first.at);
      first.run();
    }
    this.now = time;
  }

  /** Emits a request of a tenant now; after `patienceMs` its caller leaves. */
  request(gateway: QuotaGateway, tenantName: string, patienceMs = 5_000, priority = 0): void {
    const tenant = this.tenants.find(({ name }) => name === tenantName);
    if (!gateway.alive || tenant === undefined) {
      return;
    }
    this.whenRunning(gateway, () => {
      this.takeTokenNow(gateway, tenant, patienceMs, priority);
    });
  }

  /** Sends a tenant's requests at `rate` per second, at random times and gateways of `among`. */
  load(tenant: string, rate: number, from: number, until: number, among = this.gateways): void {
    let time = from;
    for (;;) {
      time += (-Math.log(1 - this.random.next()) / rate) * 1_000;
      if (time >= until) {
        return;
      }
      const gateway = among[this.random.nextBelow(among.length)];
      if (gateway !== undefined) {
        this.at(time, () => this.request(gateway, tenant));
      }
    }
  }

  results(tenant: string): readonly string[] {
    return this.outcomes.filter((outcome) => outcome.tenant === tenant).map(({ result }) => result);
  }

  granted(tenant: string): number {
    return this.results(tenant).filter((result) => result === 'granted').length;
  }

  /** The largest number of requests of a tenant that were admitted in one window. */
  mostInWindow(tenant: string, windowMs = 5_000): number {
    const times = this.outcomes
      .filter((outcome) => outcome.tenant === tenant && outcome.result === 'granted')
      .map(({ at }) => at)
      .sort((left, right) => left - right);
    let begin = 0;
    return times.reduce((most, time, index) => {
      while ((times[begin] ?? 0) < time - windowMs) {
        begin += 1;
      }
      return Math.max(most, index - begin + 1);
    }, 0);
  }

  localTime({ clockRate }: QuotaGateway): number {
    return 1_000 + this.now * clockRate;
  }

  private create(name: string): QuotaGateway {
    const record: PeerRecord = { name, zone: 'bole', address: HOST, capacity: 1 };
    const gateway = new QuotaGateway(record, 0.995 + 0.01 * this.random.next(), this.bounds);
    this.gateways.push(gateway);
    return gateway;
  }

  private start(gateway: QuotaGateway, isFirstStart: boolean): void {
    gateway.incarnation += 1;
    const seed = this.random.nextBelow(1_000_000);
    gateway.state = createGatewayState(gateway.settings(isFirstStart), seed);
    this.emit(gateway, { type: 'started', at: this.localTime(gateway) });
    const value = replicaRecord('a-1', 'alerts');
    this.emitPage(gateway, 'replicas', [{ name: 'a-1', gone: false, value }]);
    this.readStore(gateway);
    this.readStore(gateway);
    this.confirmRepeatedly(gateway, gateway.incarnation);
  }

  private confirmRepeatedly(gateway: QuotaGateway, incarnation: number): void {
    if (gateway.incarnation !== incarnation) {
      return;
    }
    if (gateway.storeReachable && gateway.pausedUntil <= this.now) {
      Object.values(gateway.state.collections).forEach((progress) => {
        progress.confirmedAt = this.localTime(gateway);
      });
    }
    this.at(this.now + CONFIRM_MS, () => this.confirmRepeatedly(gateway, incarnation));
  }

  private publishList(): void {
    for (const gateway of this.gateways) {
      this.at(this.now + this.random.next() * 300, () => this.readStore(gateway));
    }
  }

  /** Reads the configuration and the list of gateways, if the gateway reaches the store. */
  private readStore(gateway: QuotaGateway): void {
    if (!gateway.alive || !gateway.storeReachable) {
      return;
    }
    this.whenRunning(gateway, () => {
      if (gateway.storeReachable) {
        this.readStoreNow(gateway);
      }
    });
  }

  private readStoreNow(gateway: QuotaGateway): void {
    const configuration = {
      version: this.version,
      routes: [ALERTS],
      services: new Map([['alerts', { name: 'alerts', maxConnections: 1_000 }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      tenants: this.tenants,
    };
    const main = { name: 'main', gone: false, value: configuration };
    this.emitPage(gateway, 'configuration', [main]);
    const records = this.listed.map((value) => ({ name: value.name, gone: false, value }));
    this.emitPage(gateway, 'gateways', records);
    gateway.state.gatewaysSettled = true;
  }

  private emitPage(
    gateway: QuotaGateway,
    collection: 'configuration' | 'gateways' | 'replicas',
    objects: readonly { readonly name: string; readonly gone: boolean; readonly value: unknown }[],
  ): void {
    const revision = Math.max(1, (gateway.state.collections[collection].revision ?? 0) + 1);
    const page = { collection, objects, more: false, last: '', revision };
    const event = { type: 'page-read', at: this.localTime(gateway), page };
    this.emit(gateway, event as unknown as GatewayEvent);
  }

  private takeTokenNow(
    gateway: QuotaGateway,
    tenant: Tenant,
    patienceMs: number,
    priority: number,
  ): void {
    const call = this.nextCall;
    this.nextCall += 1;
    const requestId = `r-${call}`;
    const at = this.localTime(gateway);
    const [digest = ''] = tenant.keyDigests;
    const event: RequestReceived = {
      type: 'request-received',
      at,
      call,
      request: {
        requestId,
        fingerprint: requestId,
        host: 'shop.example',
        path: '/x',
        keyDigests: [digest],
      },
    };
    gateway.pending.set(call, { tenant: tenant.name, sentAt: this.now });
    const token = takeToken(gateway.state, tenant, { ...ALERTS, priority }, event, at);
    if (token.type !== 'waiting') {
      const isGranted = token.type === 'granted';
      const retry = isGranted ? {} : { retryAfterMs: token.retryAfterMs };
      this.end(gateway, call, isGranted ? 'granted' : token.reason, retry);
    } else {
      this.at(this.now + patienceMs, () => {
        removeWaitingCall(gateway.state, call);
      });
    }
    this.execute(gateway, token.effects);
  }

  private end(
    gateway: QuotaGateway,
    call: CallId,
    result: string,
    retry: { readonly retryAfterMs?: number } = {},
  ): void {
    const pending = gateway.pending.get(call);
    if (pending === undefined) {
      return;
    }
    gateway.pending.delete(call);
    const { tenant, sentAt } = pending;
    if (result === 'granted' && this.random.next() < this.unrunShare) {
      this.endUnrun(gateway, tenant, sentAt);
      return;
    }
    const waitedMs = this.now - sentAt;
    const { name } = gateway;
    this.outcomes.push({ at: this.now, tenant, gateway: name, result, waitedMs, ...retry });
  }

  private endUnrun(gateway: QuotaGateway, tenant: string, sentAt: number): void {
    const receivedAt = 1_000 + sentAt * gateway.clockRate;
    const waitedMs = this.now - sentAt;
    this.outcomes.push({ at: this.now, tenant, gateway: gateway.name, result: 'unrun', waitedMs });
    const endAt = this.now + this.random.next() * this.unrunMs;
    this.schedule(gateway, gateway.incarnation, endAt, (at) => {
      returnToken(gateway.state, { tenant, receivedAt }, at);
    });
  }

  /** Runs an input of a process when it is not paused, unless the process has ended by then. */
  private whenRunning(gateway: QuotaGateway, run: () => void): void {
    const { incarnation } = gateway;
    if (gateway.pausedUntil > this.now) {
      this.at(gateway.pausedUntil, () => {
        if (gateway.incarnation === incarnation) {
          this.whenRunning(gateway, run);
        }
      });
      return;
    }
    run();
  }

  private emit(gateway: QuotaGateway, event: GatewayEvent): void {
    this.execute(gateway, step(gateway.state, event));
  }

  private execute(gateway: QuotaGateway, effects: readonly GatewayEffect[]): void {
    effects.forEach((effect) => this.executeOne(gateway, effect));
  }

  private executeOne(gateway: QuotaGateway, effect: GatewayEffect): void {
    switch (effect.type) {
      case 'send-peer-request':
        return this.sendRequest(gateway, effect.peer.name, effect.id, effect.request);
      case 'set-quotas-timer':
        return this.setTimer(gateway, effect.at, 'quotas-due');
      case 'set-request-timer':
        return this.setTimer(gateway, effect.at, 'request-due', effect.call);
      case 'send-attempt': {
        this.end(gateway, effect.call, 'granted');
        const { attempt } = effect;
        const at = this.localTime(gateway);
        return this.emit(gateway, { type: 'attempt-ended', at, attempt, result: success('s') });
      }
      case 'answer-caller':
        if (effect.response.type === 'refusal') {
          const { reason, retryAfterMs } = effect.response;
          const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
          this.end(gateway, effect.call, reason, retry);
        }
        return;
      case 'write-log':
        this.logs.push(effect.change.event);
        return;
      default:
    }
  }

  private setTimer(
    gateway: QuotaGateway,
    localAt: number,
    type: 'quotas-due' | 'request-due',
    call = 0,
  ): void {
    const time = Math.max(this.now, (localAt - 1_000) / gateway.clockRate);
    this.schedule(gateway, gateway.incarnation, time, (at) => {
      this.emit(gateway, type === 'quotas-due' ? { type, at } : { type, at, call });
    });
  }

  private schedule(
    gateway: QuotaGateway,
    incarnation: number,
    time: number,
    run: (localAt: number) => void,
  ): void {
    this.at(time, () => {
      if (gateway.incarnation === incarnation && gateway.alive) {
        this.whenRunning(gateway, () => run(this.localTime(gateway)));
      }
    });
  }

  private delay(): number {
    const isLate = this.random.next() < this.lateShare;
    return LINK_MS + (isLate ? this.random.next() * this.lateMs : 0);
  }

  /** Delivers a message unless it is lost. */
  private deliver(from: QuotaGateway, to: QuotaGateway, run: (localAt: number) => void): void {
    this.messages += 1;
    const isLost = this.random.next() < this.lossShare;
    if (!to.alive || isLost || this.isCut(from.name, to.name)) {
      return;
    }
    this.schedule(to, to.incarnation, this.now + this.delay(), run);
  }

  private sendRequest(from: QuotaGateway, to: string, id: number, request: PeerRequest): void {
    const target = this.gateways.find(({ name }) => name === to);
    if (target === undefined) {
      return;
    }
    const { incarnation } = from;
    this.deliver(from, target, (at) => {
      const received = {
        type: 'peer-request-received',
        at,
        exchange: id,
        from: from.name,
      } as const;
      for (const effect of step(target.state, { ...received, request })) {
        if (effect.type === 'answer-peer' && from.incarnation === incarnation) {
          const { answer } = effect;
          const answered = { type: 'peer-request-answered', id, peer: to, answer } as const;
          this.deliver(target, from, (receivedAt) => {
            this.emit(from, { ...answered, at: receivedAt });
          });
        } else {
          this.executeOne(target, effect);
        }
      }
    });
  }
}
