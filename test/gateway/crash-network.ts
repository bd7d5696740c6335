/**
 * Several gateways over replicas that can crash, in virtual time. A replica that runs a request with a lethal
 * fingerprint crashes at the end of that run, with everything else that it is running, and restarts under another
 * identifier after some seconds. Callers retry at another gateway.
 */
import { createRandom, type Random } from '../../src/core/random.js';
import type {
  GatewayEffect,
  SendAttempt,
  SendSubquery,
  SendCrashUpdates,
  WatchReplica,
} from '../../src/gateway/effect.js';
import type { GatewayEvent } from '../../src/gateway/event.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { ReplicaRecord } from '../../src/gateway/model/replica-record.js';
import type { AttemptResult, CallerResponse, CallId } from '../../src/gateway/model/request.js';
import type { StoreCall } from '../../src/gateway/store/collection.js';
import { type Route, servicesOf } from '../../src/gateway/model/route.js';
import { step } from '../../src/gateway/reducer.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/state.js';
import { GATEWAY_BOUNDS } from './virtual-gateway.js';

/** One-way delay between any two processes, in milliseconds. */
const LINK_MS = 1;

/** Shortest and longest work of a replica on one request, in milliseconds. */
const MIN_WORK_MS = 10;
const MAX_WORK_MS = 40;

/** Times from a crash of a replica until its entry has expired, and until it has restarted, in milliseconds. */
const ENTRY_EXPIRY_MS = 2_500;
const RESTART_MS = 3_000;

/** Duration of a call to the store, in milliseconds. */
const STORE_MS = 4;

/** Differences between times below this are rounding errors, in milliseconds. */
const CLOCK_SLACK_MS = 0.001;

/** Time that a caller needs for a new connection, in milliseconds. */
const CONNECT_MS = 6;

const ZONES = ['bole', 'arada', 'kirkos'] as const;
const HOST = { host: '10.0.0.1', port: 1 };

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** An attempt that arrived at a replica, including one that the replica refused or failed without running it. */
export interface Arrival {
  readonly at: number;
  readonly gateway: string;
  /** Since when that gateway has run with all its links up; infinite while one is cut. */
  readonly connectedSince: number;
  readonly service: string;
  readonly requestId: string;
  readonly fingerprint: string;
}

/** How a replica answers instead of running a request: with a signed failure, or with a refusal that it has not run. */
export type InsteadOfRunning = 'fails' | 'refuses' | undefined;

interface RunningAttempt {
  readonly node: CrashNode;
  readonly incarnation: number;
  readonly effect: SendAttempt;
}

/** A slot in which one incarnation of a replica after another runs. */
class ReplicaSlot {
  record: ReplicaRecord;
  isUp = true;
  readonly running = new Set<RunningAttempt>();
  /** Gateways that check the replica when it crashes. */
  readonly watchers: {
    readonly node: CrashNode;
    readonly incarnation: number;
    readonly untilAt: number;
  }[] = [];

  constructor(
    readonly name: string,
    service: string,
    zone: string,
  ) {
    this.record = { id: `${name}.1`, service, ...HOST, zone, slots: 2, draining: false, coldMs: 0 };
  }
}

/** One gateway process. */
export class CrashNode {
  state: GatewayState;
  alive = true;
  incarnation = 0;
  /** Number of times that it was started. */
  starts = 0;
  startedAt = 0;
  /** Gateways from which it is cut off, and when one of its links was last cut or healed. */
  readonly cutFrom = new Set<string>();
  healedAt = 0;
  /** Until when it is suspended, and for how long it has been suspended in total, in milliseconds. */
  suspendedUntil = 0;
  suspendedMs = 0;
  /** Its entry in the store. */
  stored: PeerRecord;
  readonly timers = new Map<string, object>();
  /** Subqueries of other gateways that run here, by call. */
  readonly coordinators = new Map<CallId, { readonly node: CrashNode; readonly id: number }>();

  constructor(
    readonly record: PeerRecord,
    seed: number,
  ) {
    this.stored = record;
    this.state = createGatewayState(settingsOf(record, true), seed);
  }
}

const settingsOf = ({ name, zone, capacity }: PeerRecord, firstStart: boolean) => ({
  node: name,
  zone,
  capacity,
  firstStart,
  zoneRegions: Object.fromEntries(ZONES.map((each) => [each, 'addis'])),
  callers: HOST,
  readiness: HOST,
  peers: HOST,
  seeds: [],
  store: HOST,
  bounds: GATEWAY_BOUNDS,
  logLevel: 'error' as const,
});

/** A request of a caller. */
export interface CallerRequest {
  readonly fingerprint: string;
  readonly path?: string;
  /** Maximum number of retries of the caller after refusals. */
  readonly retries?: number;
  readonly budgetMs?: number;
  /** The caller closes its connection after this time, in milliseconds, and does not retry. */
  readonly leavesAfterMs?: number;
  /** The first gateway that the request goes to; drawn where it is absent. */
  readonly gateway?: string;
}

/** A request of a caller, and the responses to it. */
export interface SentRequest extends CallerRequest {
  readonly requestedAt: number;
  readonly responses: CallerResponse[];
  /** A gateway was killed before it answered, or none was running. */
  isLost: boolean;
}

interface PendingRequest {
  readonly node: CrashNode;
  readonly asked: SentRequest;
  readonly retries: number;
  readonly sentAt: number;
}

/** Gateways, replicas and callers, and the clock. */
export class CrashNetwork {
  readonly nodes: CrashNode[] = [];
  readonly places: ReplicaSlot[] = [];
  private readonly placeByName = new Map<string, ReplicaSlot>();
  readonly arrivals: Arrival[] = [];
  /** When replicas crashed while running a lethal request, and its fingerprint. */
  readonly crashes: { readonly at: number; readonly fingerprint: string }[] = [];
  readonly asked: SentRequest[] = [];
  /** Every try of a caller. */
  readonly tries: { readonly at: number; readonly path: string }[] = [];
  /** Requests with these fingerprints crash the replicas that run them. */
  readonly lethal = new Set<string>();
  /**
   * Time after which a replica crashes while running a lethal request, in milliseconds, even where the run is
   * unawaited. Drawn like any work where absent, and then only awaited runs crash the replica.
   */
  lethalMs: number | undefined;
  /** What replicas do instead of running a request; by default they run all requests. */
  insteadOfRunning: (place: string, fingerprint: string) => InsteadOfRunning = () => undefined;
  /** Number of crash updates that gateways have sent each other. */
  messages = 0;
  /** The store accepts no calls. */
  isStoreDown = false;
  /** The longest time to an answer, in milliseconds, of a gateway that was not suspended in the meantime. */
  slowestAnswerMs = 0;
  now = 0;
  private readonly random: Random;
  private readonly queue: Scheduled[] = [];
  private readonly cuts = new Set<string>();
  private routes: readonly Route[] = [];
  private maxConnections = 32;
  private order = 0;
  private nextCall = 1;
  private revision = 1;
  private readonly pendingRequests = new Map<CallId, PendingRequest>();
  private readonly requests = new Map<CallId, { requestId: string; fingerprint: string }>();

  constructor(private readonly seed: number) {
    this.random = createRandom(seed);
  }

  /** Builds gateways in three zones and `copies` replicas for each service of the routes, and starts them all. */
  build(gateways: number, routes: readonly Route[], copies: number, maxConnections = 32): void {
    this.routes = routes;
    this.maxConnections = maxConnections;
    const services = [...new Set(routes.flatMap(({ target }) => servicesOf(target)))];
    for (const service of services) {
      for (let copy = 0; copy < copies; copy += 1) {
        const zone = ZONES[copy % ZONES.length] ?? '';
        const place = new ReplicaSlot(`${service}/${copy}`, service, zone);
        this.places.push(place);
        this.placeByName.set(place.name, place);
      }
    }
    for (let index = 0; index < gateways; index += 1) {
      const zone = ZONES[index % ZONES.length] ?? '';
      const record = { name: `front-${index}`, zone, address: HOST, capacity: 1 };
      this.nodes.push(new CrashNode(record, this.seed + index));
    }
    this.nodes.forEach((node) => this.start(node));
  }

  /** Starts or restarts a gateway, which then knows only what the store holds. */
  start(node: CrashNode): void {
    this.kill(node);
    node.suspendedUntil = 0;
    node.suspendedMs = 0;
    node.alive = true;
    node.incarnation += 1;
    node.startedAt = this.now;
    const isFirstStart = node.starts === 0;
    node.starts += 1;
    node.state = createGatewayState(
      settingsOf(node.record, isFirstStart),
      this.seed + node.incarnation * 97,
    );
    node.timers.clear();
    node.coordinators.clear();
    this.emit(node, { type: 'started', at: this.now });
    this.sendConfiguration(node);
    this.sendReplicas(node);
    this.sendGateways(node);
  }

  kill(node: CrashNode): void {
    const lost = [...this.pendingRequests.values()].filter((waiting) => waiting.node === node);
    lost.forEach(({ asked }) => {
      asked.isLost = true;
    });
    node.alive = false;
    node.incarnation += 1;
  }

  /** Cuts or heals the link of two gateways, both ways. */
  setCut(left: CrashNode, right: CrashNode, isCut: boolean): void {
    const key = [left.record.name, right.record.name].sort().join('|');
    for (const [node, other] of [
      [left, right],
      [right, left],
    ] as const) {
      node.healedAt = this.now;
      if (isCut) {
        node.cutFrom.add(other.record.name);
      } else {
        node.cutFrom.delete(other.record.name);
      }
    }
    if (isCut) {
      this.cuts.add(key);
    } else {
      this.cuts.delete(key);
    }
  }

  /** Suspends a gateway and its clock; it handles the events of that time when it resumes. */
  suspend(node: CrashNode, forMs: number): void {
    if (this.now >= node.suspendedUntil) {
      const wholeMs = Math.ceil(forMs);
      node.suspendedUntil = this.now + wholeMs;
      node.suspendedMs += wholeMs;
    }
  }

  /** A gateway's own clock, which does not advance while it is suspended. */
  clockOf({ suspendedUntil, suspendedMs }: CrashNode): number {
    return this.now - suspendedMs + Math.max(0, suspendedUntil - this.now);
  }

  /** Sends a request of a caller. It and its retries go to gateways drawn at random. */
  sendRequest(request: CallerRequest): SentRequest {
    const asked: SentRequest = { ...request, requestedAt: this.now, responses: [], isLost: false };
    this.asked.push(asked);
    this.sendToGateway(
      asked,
      request.retries ?? 1,
      this.nodes.find(({ record }) => record.name === request.gateway),
    );
    return asked;
  }

  /** Crashes the matching replicas for a reason other than a request. */
  crash(matches: (place: ReplicaSlot) => boolean): void {
    this.places
      .filter((place) => place.isUp && matches(place))
      .forEach((place) => this.crashReplica(place));
  }

  /** Draws a number from 0 to 1. */
  draw(): number {
    return this.random.next();
  }

  advance(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const next = this.removeNextDue(until);
      if (next === undefined) {
        break;
      }
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = until;
  }

  at(ms: number, run: () => void): void {
    this.schedule(Math.max(0, ms - this.now), run);
  }

  private sendToGateway(asked: SentRequest, retries: number, wanted?: CrashNode): void {
    const alive = this.nodes.filter((node) => node.alive);
    const node = wanted ?? alive[Math.floor(this.random.next() * alive.length)];
    if (node === undefined) {
      asked.isLost = true;
      return;
    }
    const call = this.nextCall;
    this.nextCall += 1;
    const { fingerprint, path = '/all/x', budgetMs = 1_500 } = asked;
    const requestId = `r-${call}`;
    this.tries.push({ at: this.now, path });
    this.pendingRequests.set(call, { node, asked, retries, sentAt: this.now });
    this.requests.set(call, { requestId, fingerprint });
    const request = { requestId, fingerprint, host: 'shop.example', path, budgetMs };
    this.emitLater(LINK_MS, node, { type: 'request-received', at: 0, call, request });
    if (asked.leavesAfterMs !== undefined) {
      this.schedule(asked.leavesAfterMs, () => this.leave(node, call));
    }
  }

  private leave(node: CrashNode, call: CallId): void {
    if (this.pendingRequests.delete(call)) {
      this.emitLater(LINK_MS, node, { type: 'caller-left', at: 0, call });
    }
  }

  private handleAnswer(call: CallId, response: CallerResponse): void {
    const pending = this.pendingRequests.get(call);
    this.pendingRequests.delete(call);
    if (pending === undefined) {
      return;
    }
    if (pending.node.suspendedUntil < pending.sentAt) {
      this.slowestAnswerMs = Math.max(this.slowestAnswerMs, this.now - pending.sentAt);
    }
    pending.asked.responses.push(response);
    if (response.type === 'refusal' && pending.retries > 0) {
      const { budgetMs = 1_500 } = pending.asked;
      const waitMs = Math.min(response.retryAfterMs ?? 0, budgetMs / 3);
      this.schedule(waitMs + CONNECT_MS, () =>
        this.sendToGateway(pending.asked, pending.retries - 1),
      );
    }
  }

  private sendConfiguration(node: CrashNode): void {
    const services = this.routes.flatMap(({ target }) => servicesOf(target));
    const { maxConnections } = this;
    const value = {
      version: 1,
      routes: this.routes,
      services: new Map(services.map((name) => [name, { name, maxConnections }])),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const objects = [{ name: 'main', gone: false, value }];
    const page = {
      collection: 'configuration',
      objects,
      more: false,
      last: '',
      revision: 1,
    } as const;
    this.emit(node, { type: 'page-read', at: this.now, page });
  }

  private sendReplicas(node: CrashNode): void {
    const up = this.places.filter(({ isUp }) => isUp);
    const objects = up.map(({ record }) => ({ name: record.id, gone: false, value: record }));
    const revision = this.revision;
    const page = { collection: 'replicas', objects, more: false, last: '', revision } as const;
    this.emit(node, { type: 'page-read', at: this.now, page });
  }

  private sendGateways(node: CrashNode): void {
    const objects = this.nodes.map(({ stored }) => ({
      name: stored.name,
      gone: false,
      value: stored,
    }));
    const page = { collection: 'gateways', objects, more: false, last: '', revision: 1 } as const;
    this.emit(node, { type: 'page-read', at: this.now, page });
    this.emit(node, { type: 'page-read', at: this.now, page });
  }

  private sendReplicaChange(record: ReplicaRecord, gone: boolean): void {
    this.revision += 1;
    const objects = [{ name: record.id, gone, ...(!gone && { value: record }) }];
    const changes = { collection: 'replicas', objects, revision: this.revision } as const;
    this.nodes
      .filter(({ alive }) => alive)
      .forEach((node) => this.emit(node, { type: 'changes-read', at: this.now, changes }));
  }

  /** Crashes a replica: its attempts fail, and its machine refuses connections until it has restarted. */
  private crashReplica(place: ReplicaSlot): void {
    place.isUp = false;
    const { record } = place;
    const running = [...place.running];
    place.running.clear();
    running.forEach((attempt) =>
      this.endAttempt(attempt, { type: 'failed', problem: 'reset', mayHaveRun: true }),
    );
    this.notifyWatchers(place);
    this.schedule(ENTRY_EXPIRY_MS, () => this.sendReplicaChange(record, true));
    this.schedule(RESTART_MS * (0.8 + 0.4 * this.random.next()), () => this.restart(place));
  }

  private restart(place: ReplicaSlot): void {
    const [name, incarnation] = place.record.id.split('.');
    place.record = { ...place.record, id: `${name}.${Number(incarnation) + 1}` };
    place.isUp = true;
    this.sendReplicaChange(place.record, false);
  }

  private endAttempt({ node, incarnation, effect }: RunningAttempt, result: AttemptResult): void {
    if (node.incarnation === incarnation) {
      const { attempt } = effect;
      this.emitLater(LINK_MS, node, { type: 'attempt-ended', at: 0, attempt, result });
    }
  }

  private arrive(node: CrashNode, incarnation: number, effect: SendAttempt): void {
    const attempt: RunningAttempt = { node, incarnation, effect };
    const place = this.placeByName.get(effect.replica.id.split('.')[0] ?? '');
    if (place?.isUp !== true) {
      return this.endAttempt(attempt, {
        type: 'failed',
        problem: 'connect-refused',
        mayHaveRun: false,
      });
    }
    const fingerprint = this.recordArrival(node, effect, place.record.service);
    if (place.record.id !== effect.replica.id) {
      return this.endAttempt(attempt, { type: 'refused', reason: 'wrong-instance' });
    }
    switch (this.insteadOfRunning(place.name, fingerprint)) {
      case 'refuses':
        return this.endAttempt(attempt, { type: 'refused', reason: 'full' });
      case 'fails':
        return this.answer(attempt, 500);
      case undefined:
        this.run(place, attempt, fingerprint);
    }
  }

  private recordArrival(node: CrashNode, { call }: SendAttempt, service: string): string {
    const { requestId, fingerprint } = this.requests.get(call) ?? {
      requestId: '',
      fingerprint: '',
    };
    const { name: gateway } = node.record;
    const connectedSince =
      node.cutFrom.size > 0
        ? Number.POSITIVE_INFINITY
        : Math.max(node.startedAt, node.healedAt, node.suspendedUntil);
    this.arrivals.push({
      at: this.now,
      gateway,
      connectedSince,
      service,
      requestId,
      fingerprint,
    });
    return fingerprint;
  }

  /**
   * Runs a request. Where `lethalMs` is set, a lethal request crashes its replica even after the attempt was aborted.
   */
  private run(place: ReplicaSlot, attempt: RunningAttempt, fingerprint: string): void {
    const { id } = place.record;
    const isLethal = this.lethal.has(fingerprint);
    place.running.add(attempt);
    const drawnMs = MIN_WORK_MS + (MAX_WORK_MS - MIN_WORK_MS) * this.random.next() ** 3;
    const workMs = isLethal && this.lethalMs !== undefined ? this.lethalMs : drawnMs;
    this.schedule(workMs, () => {
      const isRunning = place.running.has(attempt);
      const isOrphan = this.lethalMs !== undefined && place.isUp && place.record.id === id;
      if (isLethal && (isRunning || isOrphan)) {
        this.crashes.push({ at: this.now, fingerprint });
        this.crashReplica(place);
      } else if (isRunning) {
        place.running.delete(attempt);
        this.answer(attempt, 200);
      }
    });
  }

  private answer(attempt: RunningAttempt, status: number): void {
    const { effect } = attempt;
    const signature = `${effect.replica.id}-${effect.attempt}`;
    const answer = { status, headers: [], body: Buffer.alloc(16), signature };
    this.endAttempt(attempt, { type: 'answered', answer, closing: false });
  }

  private abort(node: CrashNode, attemptId: number, withinMs: number): void {
    this.schedule(withinMs, () => {
      for (const place of this.places) {
        const attempt = [...place.running].find(
          (each) =>
            each.node === node &&
            each.incarnation === node.incarnation &&
            each.effect.attempt === attemptId,
        );
        if (attempt !== undefined) {
          place.running.delete(attempt);
          this.endAttempt(attempt, { type: 'failed', problem: 'aborted', mayHaveRun: true });
        }
      }
    });
  }

  private check(node: CrashNode, replica: string): void {
    const place = this.places.find(({ record }) => record.id === replica);
    const isDown = place?.isUp !== true;
    this.emitLater(2 * LINK_MS, node, { type: 'replica-checked', at: 0, replica, isDown });
  }

  /** Checks a watched replica when it crashes, or at once if it has already crashed. */
  private watch(node: CrashNode, { replica, untilAt }: WatchReplica): void {
    const place = this.places.find(({ record }) => record.id === replica.id);
    if (place?.isUp !== true) {
      return this.check(node, replica.id);
    }
    place.watchers.push({ node, incarnation: node.incarnation, untilAt });
  }

  private notifyWatchers(place: ReplicaSlot): void {
    const { id } = place.record;
    for (const { node, incarnation, untilAt } of place.watchers.splice(0)) {
      if (node.incarnation === incarnation && this.clockOf(node) <= untilAt) {
        this.schedule(LINK_MS, () => node.incarnation === incarnation && this.check(node, id));
      }
    }
  }

  private isLinked(from: CrashNode, to: CrashNode): boolean {
    const key = [from.record.name, to.record.name].sort().join('|');
    return to.alive && !this.cuts.has(key);
  }

  private sendSubquery(node: CrashNode, { id, call, peer, subquery }: SendSubquery): void {
    const to = this.nodes.find(({ record }) => record.name === peer.name);
    const request = this.requests.get(call);
    if (to === undefined || request === undefined) {
      return;
    }
    if (!this.isLinked(node, to)) {
      const problem = 'disconnected';
      this.emitLater(LINK_MS, node, { type: 'peer-lost', at: 0, peer: peer.name, problem });
      this.emitLater(LINK_MS, node, {
        type: 'subquery-failed',
        at: 0,
        subquery: id,
        mayHaveRun: true,
      });
      return;
    }
    const ownCall = this.nextCall;
    this.nextCall += 1;
    this.requests.set(ownCall, request);
    to.coordinators.set(ownCall, { node, id });
    this.emitLater(LINK_MS, to, {
      type: 'subquery-received',
      at: 0,
      call: ownCall,
      ...request,
      subquery,
    });
  }

  private sendToCoordinator(
    node: CrashNode,
    call: CallId,
    eventFor: (id: number) => GatewayEvent,
  ): void {
    const coordinator = node.coordinators.get(call);
    if (coordinator !== undefined && this.isLinked(node, coordinator.node)) {
      this.emitLater(LINK_MS, coordinator.node, eventFor(coordinator.id));
    }
  }

  private cancelSubquery(node: CrashNode, id: number, withinMs: number): void {
    for (const to of this.nodes) {
      for (const [call, coordinator] of to.coordinators) {
        if (coordinator.node === node && coordinator.id === id) {
          this.emitLater(LINK_MS, to, { type: 'subquery-cancelled', at: 0, call, withinMs });
        }
      }
    }
  }

  private performEffect(node: CrashNode, effect: GatewayEffect): void {
    switch (effect.type) {
      case 'send-attempt': {
        const { incarnation } = node;
        return this.schedule(LINK_MS, () => this.arrive(node, incarnation, effect));
      }
      case 'abort-attempt':
        return this.abort(node, effect.attempt, effect.withinMs);
      case 'check-replica':
        return this.check(node, effect.replica.id);
      case 'watch-replica':
        return this.watch(node, effect);
      case 'call-store':
        return this.register(node, effect.call);
      case 'send-crash-updates':
        return this.sendCrashUpdates(node, effect);
      case 'answer-caller':
        return this.handleAnswer(effect.call, effect.response);
      case 'send-subquery':
        return this.sendSubquery(node, effect);
      case 'cancel-subquery':
        return this.cancelSubquery(node, effect.id, effect.withinMs);
      case 'answer-subquery':
        return this.sendToCoordinator(node, effect.call, (subquery) => ({
          type: 'subquery-answered',
          at: 0,
          subquery,
          part: effect.part,
        }));
      case 'acknowledge-subquery':
        return this.sendToCoordinator(node, effect.call, (subquery) => ({
          type: 'subquery-acknowledged',
          at: 0,
          subquery,
        }));
      default:
        this.performTimerEffect(node, effect);
    }
  }

  private performTimerEffect(node: CrashNode, effect: GatewayEffect): void {
    switch (effect.type) {
      case 'set-crash-update-timer':
        return this.setTimer(node, 'news', effect.at, { type: 'crash-updates-due', at: 0 });
      case 'set-registration-timer':
        return this.setTimer(node, 'registration', effect.at, { type: 'registration-due', at: 0 });
      case 'set-request-timer': {
        const { call } = effect;
        return this.setTimer(node, `call ${call}`, effect.at, { type: 'request-due', at: 0, call });
      }
      default:
    }
  }

  /** Writes the entry of a gateway to the store, unless it is down, and sends the change to all gateways. */
  private register(node: CrashNode, call: StoreCall): void {
    if (call.type !== 'register' || this.isStoreDown) {
      return;
    }
    const { record } = call;
    this.schedule(STORE_MS, () => {
      node.stored = record;
      this.revision += 1;
      const objects = [{ name: record.name, gone: false, value: record }];
      const changes = { collection: 'gateways', objects, revision: this.revision } as const;
      this.nodes
        .filter(({ alive }) => alive)
        .forEach((each) => this.emit(each, { type: 'changes-read', at: this.now, changes }));
    });
  }

  private sendCrashUpdates(node: CrashNode, { peers, news }: SendCrashUpdates): void {
    for (const { name } of peers) {
      const to = this.nodes.find(({ record }) => record.name === name);
      this.messages += 1;
      if (to !== undefined && this.isLinked(node, to)) {
        const from = node.record.name;
        this.emitLater(LINK_MS, to, { type: 'crash-updates-received', at: 0, from, news });
      }
    }
  }

  private setTimer(node: CrashNode, key: string, at: number, event: GatewayEvent): void {
    const token = {};
    node.timers.set(key, token);
    this.scheduleTimer(node, key, token, at, event);
  }

  /** Schedules a timer on the gateway's clock: a suspension delays it by its duration. */
  private scheduleTimer(
    node: CrashNode,
    key: string,
    token: object,
    at: number,
    event: GatewayEvent,
  ): void {
    const { incarnation } = node;
    this.schedule(Math.max(0, at - this.clockOf(node)), () => {
      if (node.incarnation !== incarnation || node.timers.get(key) !== token) {
        return;
      }
      if (this.clockOf(node) < at - CLOCK_SLACK_MS) {
        this.scheduleTimer(node, key, token, at, event);
        return;
      }
      node.timers.delete(key);
      this.emit(node, event, at);
    });
  }

  private emitLater(inMs: number, node: CrashNode, event: GatewayEvent): void {
    const { incarnation } = node;
    this.schedule(inMs, () => {
      if (node.alive && node.incarnation === incarnation) {
        this.emit(node, event);
      }
    });
  }

  /** Emits an event to a gateway now; a suspended gateway handles it when it resumes. */
  private emit(node: CrashNode, event: GatewayEvent, notBefore = 0): void {
    if (this.now < node.suspendedUntil - CLOCK_SLACK_MS) {
      return this.emitLater(node.suspendedUntil - this.now, node, event);
    }
    const timed = { ...event, at: Math.max(notBefore, this.clockOf(node)) };
    step(node.state, timed).forEach((effect) => this.performEffect(node, effect));
  }

  private schedule(inMs: number, run: () => void): void {
    this.order += 1;
    const entry = { at: this.now + inMs, order: this.order, run };
    let index = this.queue.length;
    while (index > 0 && (this.queue[index - 1] as Scheduled).at > entry.at) {
      index -= 1;
    }
    this.queue.splice(index, 0, entry);
  }

  private removeNextDue(until: number): Scheduled | undefined {
    const [next] = this.queue;
    return next === undefined || next.at > until ? undefined : this.queue.shift();
  }
}

/**
 * Arrivals of a lethal request at replicas more than `propagationMs` after it crashed the third of them, sent by
 * gateways that had been running and connected for as long.
 */
const lateArrivals = (
  { arrivals, crashes }: CrashNetwork,
  fingerprint: string,
  propagationMs: number,
): readonly Arrival[] => {
  const [, , third] = crashes.filter((crash) => crash.fingerprint === fingerprint);
  if (third === undefined) {
    return [];
  }
  return arrivals.filter(
    (arrival) =>
      arrival.fingerprint === fingerprint &&
      arrival.at > third.at + propagationMs &&
      arrival.at - arrival.connectedSince > propagationMs,
  );
};

/** Number of caller requests, of a lethal fingerprint, with late arrivals; several attempts of a request count once. */
export const lateRequests = (
  network: CrashNetwork,
  fingerprint: string,
  propagationMs: number,
): number =>
  new Set(lateArrivals(network, fingerprint, propagationMs).map(({ requestId }) => requestId)).size;

/** Number of late attempts of a lethal request, over all gateways. */
export const lateAttempts = (
  network: CrashNetwork,
  fingerprint: string,
  propagationMs: number,
): number => lateArrivals(network, fingerprint, propagationMs).length;

/** The share of the requests sent from `from` to before `to`, of those that `matches` selects, that were served. */
export const shareServed = (
  { asked }: CrashNetwork,
  matches: (fingerprint: string) => boolean,
  from: number,
  to: number,
): number => {
  const selected = asked.filter(
    ({ fingerprint, requestedAt }) =>
      matches(fingerprint) && requestedAt >= from && requestedAt < to,
  );
  const served = selected.filter(({ responses }) => {
    const last = responses.at(-1);
    return last !== undefined && last.type !== 'refusal';
  });
  return served.length / selected.length;
};
