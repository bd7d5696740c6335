/** Runs a gateway's reducer in virtual time: tests emit events and inspect the effects as data. */
import type { GatewayEffect, SendAttempt, SendSubquery } from '../../src/gateway/effect.js';
import type { GatewayEvent } from '../../src/gateway/event.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import type { Subquery } from '../../src/gateway/model/subquery.js';
import type { KeyDigest, Tenant } from '../../src/gateway/model/tenant.js';
import {
  type GatewayConfiguration,
  type Route,
  type RouteTarget,
  servicesOf,
} from '../../src/gateway/model/route.js';
import type { AttemptResult, CallerResponse, CallId } from '../../src/gateway/model/request.js';
import { step } from '../../src/gateway/reducer.js';
import type { GatewayBounds } from '../../src/gateway/settings.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/state.js';

const HOST = { host: '127.0.0.1', port: 1 };

/** Bounds of the users' deployments; the slack of the retry budget applies to one service. */
export const GATEWAY_BOUNDS: GatewayBounds = {
  drainMs: 3_000,
  graceMs: 6_000,
  configurationMs: 3_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 56,
};

/** A route with an objective of 100 ms. */
export const routeTo = (target: RouteTarget, fields: Partial<Route> = {}): Route => ({
  name: 'route',
  host: 'shop.example',
  pathPrefix: '/',
  repeatable: true,
  timeoutMs: 1_000,
  objectiveMs: 100,
  maxAttempts: 2,
  priority: 0,
  target,
  ...fields,
});

/** Shards `s0` to `s(count - 1)`. */
export const gatherOf = (count: number, minCoverage: number): RouteTarget => ({
  type: 'gather',
  shards: Array.from({ length: count }, (_, index) => `s${index}`),
  maxRecords: 10,
  minCoverage,
});

/** A signed successful answer of a replica. */
export const success = (signature: string): AttemptResult => ({
  type: 'answered',
  answer: { status: 200, headers: [], body: Buffer.alloc(16), signature },
  closing: false,
});

/** 20 gateways of one region, so that shards are reached through feeders; the first one has the most capacity. */
export const GATEWAY_LIST: readonly PeerRecord[] = Array.from({ length: 20 }, (_, index) => ({
  name: `front-${index + 1}`,
  zone: 'bole',
  address: HOST,
  capacity: index === 0 ? 1 : 0.1,
}));

/** Runs the reducer and records its effects. */
export class VirtualGateway {
  readonly state: GatewayState;
  readonly sent: SendAttempt[] = [];
  readonly subqueries: SendSubquery[] = [];
  readonly answers = new Map<CallId, CallerResponse>();
  readonly answeredAt = new Map<CallId, number>();
  /** Due time of each request's timer. */
  readonly timers = new Map<CallId, number>();
  /** When the timer of the waiting attempts is due; undefined while it is not set. */
  schedulingAt: number | undefined;
  readonly effects: GatewayEffect[] = [];
  now = 0;
  /** Replicas that refuse connections; all others accept them. */
  readonly downReplicas = new Set<string>();
  /** Whether replica checks are answered at once; otherwise the test emits their results. */
  checksReplicas = true;
  private readonly pendingChecks: string[] = [];
  private nextCall = 1;
  private revision = 1;

  constructor(retrySlack = 40, node = 'front-1', capacity = 1) {
    this.state = createGatewayState(
      {
        node,
        zone: 'bole',
        capacity,
        firstStart: true,
        zoneRegions: { bole: 'addis', arada: 'addis' },
        callers: HOST,
        readiness: HOST,
        peers: HOST,
        seeds: [],
        store: HOST,
        bounds: { ...GATEWAY_BOUNDS, retrySlack },
        logLevel: 'error',
      },
      7,
    );
    this.state.gateways = 1;
    this.state.peers.put({ name: node, zone: 'bole', address: HOST, capacity });
    this.emit({ type: 'started', at: 0 });
  }

  emit(event: GatewayEvent): void {
    for (const effect of step(this.state, event)) {
      this.recordEffect(effect);
    }
    for (const replica of this.pendingChecks.splice(0)) {
      const isDown = this.downReplicas.has(replica);
      this.emit({ type: 'replica-checked', at: this.now, replica, isDown });
    }
  }

  /** Puts a configuration with these routes in force. */
  configure(
    version: number,
    routes: readonly Route[],
    maxConnections = 32,
    coldRequestsPerSecond?: number,
    tenants?: readonly Tenant[],
  ): void {
    const policy = {
      maxConnections,
      ...(coldRequestsPerSecond !== undefined && { coldRequestsPerSecond }),
    };
    const configuration: GatewayConfiguration = {
      version,
      routes,
      services: new Map(
        routes
          .flatMap(({ target }) => servicesOf(target))
          .map((name) => [name, { name, ...policy }]),
      ),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      ...(tenants !== undefined && { tenants }),
    };
    this.emit({
      type: 'page-read',
      at: this.now,
      page: {
        collection: 'configuration',
        objects: [{ name: 'main', gone: false, value: configuration }],
        more: false,
        last: 'main',
        revision: version,
      },
    });
  }

  /** Lists one replica in each zone for each of `services`. */
  listReplicas(
    services: readonly string[],
    zones: readonly string[] = ['bole', 'arada'],
    coldMs = 0,
    slots = 2,
  ): void {
    const objects = services.flatMap((service) =>
      zones.map((zone, index) => {
        const id = `${service}-${zone}-${index}`;
        const value = { id, service, ...HOST, zone, slots, draining: false, coldMs };
        return { name: id, gone: false, value };
      }),
    );
    this.emit({
      type: 'page-read',
      at: this.now,
      page: { collection: 'replicas', objects, more: false, last: '', revision: 1 },
    });
  }

  /** Orders the evacuation of a zone, or cancels the order when `gone` is set. */
  evacuate(zone: string, gone = false): void {
    this.revision += 1;
    const objects = [{ name: zone, gone, ...(!gone && { value: { zone } }) }];
    const changes = { collection: 'evacuations', objects, revision: this.revision } as const;
    this.emit({ type: 'changes-read', at: this.now, changes });
  }

  /** Reads the list of gateways from the store twice, after which it counts as settled. */
  listGateways(gateways: readonly PeerRecord[]): void {
    const objects = gateways.map((value) => ({ name: value.name, gone: false, value }));
    const list = { collection: 'gateways', objects, more: false, last: '', revision: 1 } as const;
    this.emit({ type: 'page-read', at: this.now, page: list });
    this.emit({ type: 'page-read', at: this.now, page: list });
  }

  /** Emits a subquery of another gateway. */
  receiveSubquery(subquery: Partial<Subquery> & Pick<Subquery, 'shards'>): CallId {
    const call = this.nextCall;
    this.nextCall += 1;
    const whole: Subquery = {
      route: 'route',
      maxRecords: 10,
      maxAttempts: 2,
      objectiveMs: 100,
      partsWithinMs: 70,
      deadlineMs: 800,
      isRepeat: false,
      ...subquery,
    };
    const requestId = `sub-${call}`;
    this.emit({
      type: 'subquery-received',
      at: this.now,
      call,
      requestId,
      fingerprint: requestId,
      subquery: whole,
    });
    return call;
  }

  /** Emits a caller's request; each has a fingerprint of its own unless one is given. */
  request(
    budgetMs = 900,
    isFirstOnConnection = false,
    fingerprint?: string,
    keyDigests?: readonly KeyDigest[],
    path = '/x',
  ): CallId {
    const call = this.nextCall;
    this.nextCall += 1;
    const requestId = `r-${call}`;
    const request = {
      requestId,
      fingerprint: fingerprint ?? requestId,
      host: 'shop.example',
      path,
      budgetMs,
      isFirstOnConnection,
      ...(keyDigests !== undefined && { keyDigests }),
    };
    this.emit({ type: 'request-received', at: this.now, call, request });
    return call;
  }

  end(attempt: SendAttempt, result: AttemptResult): void {
    this.emit({ type: 'attempt-ended', at: this.now, attempt: attempt.attempt, result });
  }

  /** Advances the clock, emitting `request-due` and `scheduling-due` for timers as they become due. */
  advanceTo(at: number): void {
    for (;;) {
      if (
        this.schedulingAt !== undefined &&
        this.schedulingAt <= Math.min(at, ...this.timers.values())
      ) {
        this.now = Math.max(this.now, this.schedulingAt);
        this.schedulingAt = undefined;
        this.emit({ type: 'scheduling-due', at: this.now });
        continue;
      }
      const due = [...this.timers].filter(([, time]) => time <= at);
      due.sort(([, left], [, right]) => left - right);
      const [first] = due;
      if (first === undefined) {
        break;
      }
      const [call, time] = first;
      this.timers.delete(call);
      this.now = Math.max(this.now, time);
      this.emit({ type: 'request-due', at: this.now, call });
    }
    this.now = at;
  }

  private recordEffect(effect: GatewayEffect): void {
    this.effects.push(effect);
    switch (effect.type) {
      case 'send-attempt':
        this.sent.push(effect);
        break;
      case 'send-subquery':
        this.subqueries.push(effect);
        break;
      case 'answer-caller':
        this.answers.set(effect.call, effect.response);
        this.answeredAt.set(effect.call, this.now);
        this.timers.delete(effect.call);
        break;
      case 'check-replica':
        if (this.checksReplicas) {
          this.pendingChecks.push(effect.replica.id);
        }
        break;
      case 'set-scheduling-timer':
        this.schedulingAt = effect.at;
        break;
      case 'answer-subquery':
        if (effect.part.isFinal) {
          this.timers.delete(effect.call);
        }
        break;
      case 'discard-call':
        this.timers.delete(effect.call);
        break;
      case 'set-request-timer':
        this.timers.set(effect.call, effect.at);
        break;
      default:
    }
  }
}

/** A gateway with a route over `shards` shards of two replicas each; the test emits the results of replica checks. */
export const gatheringGateway = (shards: number): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.checksReplicas = false;
  gateway.configure(1, [routeTo(gatherOf(shards, 0.5))]);
  gateway.listReplicas(Array.from({ length: shards }, (_, index) => `s${index}`));
  return gateway;
};

/** The record of a usable replica. */
export const replicaRecord = (id: string, service: string, draining = false): ReplicaRecord => ({
  id,
  service,
  ...HOST,
  zone: 'bole',
  slots: 2,
  draining,
  coldMs: 0,
});
