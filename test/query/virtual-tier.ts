/** A simulated tier in virtual time for tests of the query path: cores, links and replicas without I/O. */
import type { ReplicaStatus } from '../../src/catalog/partner-index.js';
import { type KeeperRoster, rosterObjectName } from '../../src/catalog/keeper-roster.js';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import type { Effect, SendAttempt } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import { identifier, type NodeId, type PartnerId } from '../../src/core/identifiers.js';
import type { QueryPolicy } from '../../src/core/query/query-policy.js';
import type { QueryOutcome, QueryRequest } from '../../src/core/query/query-request.js';
import { createRandom, type Random } from '../../src/core/random.js';
import { createMember } from '../../src/core/membership/state.js';
import { step } from '../../src/core/reducer.js';
import { type CoreState, createCoreState } from '../../src/core/state.js';
import { createIdempotencyKey } from '../../src/protocol/idempotency-key.js';
import type { AttemptOutcome } from '../../src/protocol/leg-messages.js';
import type { NodeIdentity } from '../../src/protocol/node-address.js';
import type { RouteRow } from '../../src/table/route-row.js';

export const ENSEMBLE = identifier<PartnerId>('ensemble');
export const TAWE = identifier<PartnerId>('tawe');

/** Creates an idempotency key dated at the start of the tier; the same `number` gives the same key. */
export const makeKey = (number: number): string =>
  createIdempotencyKey(START_MS, createRandom(number).next);

/** Creates a row over all services that is safe to repeat and merges by `top`; `fields` override it. */
export const makeRow = (fields: Partial<Record<keyof RouteRow, unknown>> = {}): RouteRow =>
  ({
    partner: ENSEMBLE,
    route: 'roster',
    kind: 'page',
    services: ['svc-*'],
    fanOut: 'all',
    merge: 'top',
    maxItems: 10,
    weight: 1,
    deadlineMs: 500,
    coverage: 1,
    safeToRepeat: true,
    extraLoadLimit: 0.03,
    hedging: true,
    snapshotPolicy: 'covered',
    ...fields,
  }) as RouteRow;

/** A simulated replica; tests change its behaviour while the tier runs. */
export interface VirtualReplica {
  status: ReplicaStatus;
  partner: PartnerId;
  /** Service time of a request, in milliseconds. */
  serviceMs: (random: Random) => number;
  mode: 'normal' | 'frozen' | 'dead' | 'shedding' | 'leaving';
  /** Replaces the outcome of an answered attempt. */
  transformOutcome?: (outcome: AttemptOutcome) => AttemptOutcome;
  busy: number;
  busyMax: number;
  waiting: SendAttempt[];
  /** Attempts that the replica ran, in order. */
  ran: SendAttempt[];
}

/** The outcome of a call, with its times in milliseconds. */
export interface Answer {
  readonly outcome: QueryOutcome;
  readonly askedAt: number;
  readonly latencyMs: number;
}

interface VirtualNode {
  state: CoreState;
  timers: Map<string, number>;
  down: boolean;
  paused: boolean;
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

export interface TierOptions {
  readonly zones?: readonly string[];
  readonly nodesPerZone?: number;
  readonly services?: number;
  readonly replicasPerService?: number;
  readonly shardsPerService?: number;
  readonly slots?: number;
  readonly rows?: readonly RouteRow[];
  readonly policy?: Partial<QueryPolicy>;
  readonly seed?: number;
  readonly linkMs?: number;
  readonly serviceMs?: (random: Random) => number;
  readonly shares?: { readonly partner: PartnerId; readonly share: number }[];
}

/** Virtual time at the start of a tier, in milliseconds. */
const START_MS = 1_000;

const isBefore = (a: Scheduled, b: Scheduled): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Events in a binary heap, earliest first; events at the same time are ordered by insertion. */
class EventQueue {
  private readonly heap: Scheduled[] = [];

  get first(): Scheduled | undefined {
    return this.heap[0];
  }

  add(entry: Scheduled): void {
    const { heap } = this;
    let place = heap.push(entry) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!isBefore(entry, heap[parent] as Scheduled)) {
        break;
      }
      heap[place] = heap[parent] as Scheduled;
      place = parent;
    }
    heap[place] = entry;
  }

  removeFirst(): void {
    const { heap } = this;
    const moved = heap.pop() as Scheduled;
    if (heap.length === 0) {
      return;
    }
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) {
        break;
      }
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child] as Scheduled)) {
        child += 1;
      }
      if (!isBefore(heap[child] as Scheduled, moved)) {
        break;
      }
      heap[place] = heap[child] as Scheduled;
      place = child;
    }
    heap[place] = moved;
  }
}

export class VirtualTier {
  now = START_MS;
  readonly random: Random;
  readonly nodes = new Map<NodeId, VirtualNode>();
  readonly replicas: VirtualReplica[] = [];
  private readonly byPort = new Map<number, VirtualReplica>();
  readonly answers = new Map<string, Answer>();
  /** Sentences that nodes have logged about queries. */
  readonly queryLog: string[] = [];
  readonly options: Required<Omit<TierOptions, 'policy' | 'shares'>> & TierOptions;
  /** Returns how many copies of a message between nodes arrive: 0 loses it, 2 duplicates it. */
  onMessage: (effect: Extract<Effect, { type: 'send-link' }>) => number = () => 1;
  private readonly eventQueue = new EventQueue();
  private scheduled = 0;
  private calls = 0;
  private revision = 0;
  private readonly objects = new Map<string, StoreObject>();
  private readonly ended = new Set<string>();

  constructor(options: TierOptions = {}) {
    this.options = {
      zones: ['bole'],
      nodesPerZone: 2,
      services: 4,
      replicasPerService: 2,
      shardsPerService: 2,
      slots: 5,
      rows: [makeRow()],
      seed: 1,
      linkMs: 1,
      serviceMs: () => 4,
      ...options,
    };
    this.random = createRandom(this.options.seed);
    this.createReplicas();
    this.createObjects();
    this.createNodes();
  }

  get nodeIds(): NodeId[] {
    return [...this.nodes.keys()];
  }

  state(node: NodeId): CoreState {
    return (this.nodes.get(node) as VirtualNode).state;
  }

  private createReplicas(): void {
    const { services, replicasPerService, zones, slots, serviceMs } = this.options;
    for (let service = 0; service < services; service += 1) {
      for (let copy = 0; copy < replicasPerService; copy += 1) {
        const status = {
          replica: `svc-${service}-r${copy}`,
          zone: zones[(service + copy) % zones.length],
          host: '10.0.0.1',
          port: 9_000 + service * 10 + copy,
          slots,
          connections: 70,
          lifecycle: 'ready',
          snapshots: [1],
        } as unknown as ReplicaStatus;
        const replica: VirtualReplica = {
          status,
          partner: ENSEMBLE,
          serviceMs,
          mode: 'normal',
          busy: 0,
          busyMax: 0,
          waiting: [],
          ran: [],
        };
        this.replicas.push(replica);
        this.byPort.set(status.port, replica);
      }
    }
  }

  /** Returns the current status of all replicas of all services as store contents. */
  statusContents(partner: PartnerId): StoreContent[] {
    const { services, replicasPerService } = this.options;
    return Array.from({ length: services }, (_, service) => {
      const from = service * replicasPerService;
      const replicas = this.replicas.slice(from, from + replicasPerService).map((r) => r.status);
      return { type: 'status', status: { partner, service: `svc-${service}`, replicas } };
    }) as unknown as StoreContent[];
  }

  layoutContent(partner: PartnerId, versions: readonly number[]): StoreContent {
    const { services, shardsPerService } = this.options;
    const shards = Array.from({ length: services * shardsPerService }, (_, index) => ({
      shard: `svc-${Math.floor(index / shardsPerService)}#${index % shardsPerService}`,
      service: `svc-${Math.floor(index / shardsPerService)}`,
    }));
    const snapshots = versions.map((version) => ({ version, shards }));
    return { type: 'layout', layout: { partner, snapshots } } as unknown as StoreContent;
  }

  private createObjects(): void {
    const partners = [...new Set(this.options.rows.map((row) => row.partner))];
    for (const partner of partners) {
      const rows = this.options.rows
        .filter((row) => row.partner === partner)
        .map((row) => ({ row, rowVersion: 1, writtenBy: 'test' }));
      this.putObject(`sheet/${partner}`, { type: 'sheet', sheet: { partner, rows, history: [] } });
      this.putObject(`layout/${partner}`, this.layoutContent(partner, [1]));
      for (const content of this.statusContents(partner)) {
        this.putStatus(content);
      }
    }
    this.putObject(rosterObjectName(0), { type: 'keepers', roster: this.createRoster() });
    if (this.options.shares !== undefined) {
      const agreement = { shares: this.options.shares };
      this.putObject('agreement', { type: 'agreement', agreement });
    }
  }

  /** Creates the roster of the first period, with all nodes as keepers. */
  private createRoster(): KeeperRoster {
    const keepers = this.createIdentities().map(({ node, zone, incarnation }) => ({
      node,
      zone,
      incarnation,
    }));
    return { period: 0, keepers };
  }

  private putStatus(content: StoreContent): void {
    if (content.type === 'status') {
      this.putObject(`status/${content.status.partner}/${content.status.service}`, content);
    }
  }

  private putObject(name: string, content: StoreContent): StoreObject {
    this.revision += 1;
    const object = { name, version: 1, revision: this.revision, content } as unknown as StoreObject;
    this.objects.set(name, object);
    return object;
  }

  /** Publishes objects to every node at once. */
  publish(contents: readonly StoreContent[]): void {
    for (const content of contents) {
      if (content.type === 'status') {
        this.putStatus(content);
      } else if (content.type === 'layout') {
        this.putObject(`layout/${content.layout.partner}`, content);
      }
    }
    for (const id of this.nodeIds) {
      this.deliverStore(id);
    }
  }

  private deliverStore(id: NodeId): void {
    const objects = [...this.objects.values()];
    const through = this.revision;
    this.deliver(id, { type: 'store-changed', at: this.now, after: 0, through, objects });
  }

  private createIdentities(): NodeIdentity[] {
    const identities: NodeIdentity[] = [];
    for (const zone of this.options.zones) {
      for (let index = 0; index < this.options.nodesPerZone; index += 1) {
        identities.push({
          node: identifier<NodeId>(`${zone}-${index}`),
          zone: identifier(zone),
          region: 'addis',
          address: { host: '10.1.0.1', port: 7_000 + identities.length },
          incarnation: 1_700_000_000_000,
        });
      }
    }
    return identities;
  }

  private createNodes(): void {
    const identities = this.createIdentities();
    for (const self of identities) {
      const seed = this.options.seed * 1_000 + self.address.port;
      const { policy } = this.options;
      const state = createCoreState({ self, seeds: [], seed, ...(policy ? { policy } : {}) });
      for (const identity of identities) {
        state.membership.members.set(identity.node, createMember(identity, 'alive', 0));
      }
      state.membership.viewVersion += 1;
      this.nodes.set(self.node, { state, timers: new Map(), down: false, paused: false });
      this.deliverStore(self.node);
    }
  }

  at(time: number, run: () => void): void {
    this.scheduled += 1;
    this.eventQueue.add({ at: time, order: this.scheduled, run });
  }

  after(delay: number, run: () => void): void {
    this.at(this.now + delay, run);
  }

  /** Runs until virtual time `until`. */
  runUntil(until: number): void {
    for (;;) {
      const next = this.eventQueue.first;
      if (next === undefined || next.at > until) {
        break;
      }
      this.eventQueue.removeFirst();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = Math.max(this.now, until);
  }

  runFor(duration: number): void {
    this.runUntil(this.now + duration);
  }

  /** Delivers an event to a node and applies the resulting effects. */
  deliver(id: NodeId, event: Event): void {
    const node = this.nodes.get(id);
    if (node === undefined || node.down || node.paused) {
      return;
    }
    for (const effect of step(node.state, event)) {
      this.applyEffect(id, node, effect);
    }
  }

  /** Crashes a node; its peers lose their links to it. */
  kill(id: NodeId): void {
    (this.nodes.get(id) as VirtualNode).down = true;
    for (const other of this.nodeIds) {
      this.after(this.options.linkMs, () =>
        this.deliver(other, { type: 'link-lost', at: this.now, peer: id }),
      );
    }
  }

  /** Pauses a node's process; its links stay open. */
  pause(id: NodeId): void {
    (this.nodes.get(id) as VirtualNode).paused = true;
  }

  isUp(id: NodeId): boolean {
    const node = this.nodes.get(id) as VirtualNode;
    return !node.down && !node.paused;
  }

  /** Number of requests sent so far. */
  get asked(): number {
    return this.calls;
  }

  /** Sends a caller's request to a node; returns the identifier of the call. */
  ask(node: NodeId, fields: Partial<Record<keyof QueryRequest, unknown>> = {}): string {
    this.calls += 1;
    const call = `call-${this.calls}`;
    const query = { partner: ENSEMBLE, route: 'roster', kind: 'page', payload: null, ...fields };
    const askedAt = this.now;
    this.askedAt.set(call, askedAt);
    this.partnerOf.set(call, query.partner as PartnerId);
    const event = { type: 'query-arrived', at: this.now, call, query } as unknown as Event;
    this.deliver(node, event);
    return call;
  }

  private readonly askedAt = new Map<string, number>();
  private readonly partnerOf = new Map<string, PartnerId>();

  /** Whether a call was made for `partner`. */
  isOf(call: string, partner: PartnerId): boolean {
    return this.partnerOf.get(call) === partner;
  }

  /** Sends a request to a node and runs until it is answered, `waitMs` milliseconds at most. */
  askAndWait(
    node: NodeId,
    fields: Partial<Record<keyof QueryRequest, unknown>> = {},
    waitMs = 2_000,
  ): Answer | undefined {
    const call = this.ask(node, fields);
    const until = this.now + waitMs;
    while (!this.answers.has(call) && this.now < until) {
      this.runFor(1);
    }
    return this.answers.get(call);
  }

  private applyEffect(id: NodeId, node: VirtualNode, effect: Effect): void {
    switch (effect.type) {
      case 'answer-caller':
        this.recordAnswer(effect.call, effect.outcome);
        break;
      case 'set-timer':
        this.setTimer(id, node, effect);
        break;
      case 'cancel-timer':
        node.timers.delete(`${effect.key.purpose}|${effect.key.subject}`);
        break;
      case 'send-link':
        this.sendLink(id, effect);
        break;
      case 'send-attempt':
        this.sendAttempt(id, effect);
        break;
      case 'cancel-attempt':
        this.cancelAttempt(id, effect.attempt);
        break;
      case 'write-log':
        if (effect.part === 'query') {
          this.queryLog.push(effect.sentence);
        }
        break;
      default:
        break;
    }
  }

  private recordAnswer(call: string, outcome: QueryOutcome): void {
    if (this.answers.has(call)) {
      throw new Error(`${call} was answered twice`);
    }
    const askedAt = this.askedAt.get(call) as number;
    this.answers.set(call, { outcome, askedAt, latencyMs: this.now - askedAt });
  }

  private setTimer(id: NodeId, node: VirtualNode, effect: Extract<Effect, { type: 'set-timer' }>) {
    const name = `${effect.key.purpose}|${effect.key.subject}`;
    this.scheduled += 1;
    const token = this.scheduled;
    node.timers.set(name, token);
    this.at(Math.max(effect.at, this.now), () => {
      if (node.timers.get(name) === token) {
        node.timers.delete(name);
        this.deliver(id, { type: 'timer-fired', at: this.now, key: effect.key });
      }
    });
  }

  private sendLink(from: NodeId, effect: Extract<Effect, { type: 'send-link' }>): void {
    const { message, to } = effect;
    if (this.nodes.get(to)?.down === true) {
      this.after(this.options.linkMs, () =>
        this.deliver(from, { type: 'link-lost', at: this.now, peer: to }),
      );
      return;
    }
    const copies = this.onMessage(effect);
    for (let copy = 0; copy < copies; copy += 1) {
      this.after(this.options.linkMs, () =>
        this.deliver(to, { type: 'link-message-arrived', at: this.now, from, message }),
      );
    }
  }

  private finishAttempt(
    id: NodeId,
    sent: SendAttempt,
    outcome: AttemptOutcome,
    sentAt: number,
  ): void {
    const { attempt } = sent.leg;
    if (this.ended.has(attempt)) {
      return;
    }
    this.ended.add(attempt);
    this.cancels.delete(attempt);
    this.finishers.delete(attempt);
    const result = { attempt, outcome, queuedMs: 0, serviceMs: this.now - sentAt };
    this.deliver(id, { type: 'attempts-ended', at: this.now, results: [result] });
  }

  private readonly cancels = new Map<string, () => void>();

  private cancelAttempt(id: NodeId, attempt: string): void {
    void id;
    this.after(1, () => this.cancels.get(attempt)?.());
  }

  private sendAttempt(id: NodeId, sent: SendAttempt): void {
    const sentAt = this.now;
    const replica = this.byPort.get(sent.replica.port);
    if (replica === undefined) {
      throw new Error(`no replica at port ${sent.replica.port}`);
    }
    const finish = (outcome: AttemptOutcome) => this.finishAttempt(id, sent, outcome, sentAt);
    this.after(sent.remainingMs, () => finish({ type: 'unknown', reason: 'timed-out' }));
    this.after(0.5, () => this.handleAtReplica(replica, sent, finish));
  }

  private handleAtReplica(
    replica: VirtualReplica,
    sent: SendAttempt,
    finish: (outcome: AttemptOutcome) => void,
  ): void {
    const { attempt } = sent.leg;
    this.cancels.set(attempt, () => {
      replica.waiting = replica.waiting.filter((each) => each.leg.attempt !== attempt);
      if (replica.mode !== 'frozen' && this.running.delete(attempt)) {
        replica.busy -= 1;
        this.startWaiting(replica);
      }
      finish({ type: 'unknown', reason: 'cancelled' });
    });
    if (replica.mode === 'dead') {
      finish({ type: 'not-run', reason: 'connect-failed' });
    } else if (replica.mode === 'shedding' || replica.mode === 'leaving') {
      finish({ type: 'not-run', reason: replica.mode });
    } else if (!replica.status.snapshots.includes(sent.context.snapshot)) {
      finish({ type: 'not-run', reason: 'snapshot-gone' });
    } else {
      this.finishers.set(attempt, finish);
      replica.waiting.push(sent);
      this.startWaiting(replica);
    }
  }

  private readonly finishers = new Map<string, (outcome: AttemptOutcome) => void>();

  /** Attempts that replicas are running; a cancelled attempt frees its slot at once. */
  private readonly running = new Set<string>();

  private startWaiting(replica: VirtualReplica): void {
    while (replica.busy < replica.status.slots && replica.mode !== 'frozen') {
      const sent = replica.waiting.shift();
      if (sent === undefined) {
        return;
      }
      replica.busy += 1;
      replica.busyMax = Math.max(replica.busyMax, replica.busy);
      replica.ran.push(sent);
      this.running.add(sent.leg.attempt);
      this.after(replica.serviceMs(this.random), () => this.completeAttempt(replica, sent));
    }
  }

  private completeAttempt(replica: VirtualReplica, sent: SendAttempt): void {
    const { attempt, shard } = sent.leg;
    if (!this.running.delete(attempt)) {
      return;
    }
    replica.busy -= 1;
    const { request, snapshot } = sent.context;
    const items = [{ id: `${shard}@${snapshot}`, score: 1, value: null }];
    const load = { inFlight: replica.busy, queued: replica.waiting.length };
    const answered: AttemptOutcome = { type: 'answered', request, shard, snapshot, items, load };
    const outcome = replica.transformOutcome?.(answered) ?? answered;
    if (replica.mode !== 'frozen') {
      this.after(0.5, () => this.finishers.get(attempt)?.(outcome));
    }
    this.startWaiting(replica);
  }

  /** Resumes a frozen replica. */
  resumeReplica(replica: VirtualReplica): void {
    replica.mode = 'normal';
    this.startWaiting(replica);
  }
}
