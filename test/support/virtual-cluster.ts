/**
 * Runs several cores in one process on a seeded virtual network and clock, with loss, cuts between
 * zones, crashes, pauses and restarts. Each node has its own clock, so that tests detect a core
 * which compares the times of two nodes.
 */
import { encode } from 'cbor-x';
import type { Effect } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import { identifier, type NodeId, type ZoneName } from '../../src/core/identifiers.js';
import { createRandom, type Random } from '../../src/core/random.js';
import { step } from '../../src/core/reducer.js';
import { type CoreState, createCoreState } from '../../src/core/state.js';
import type { MemberState } from '../../src/protocol/membership-messages.js';
import type { PeerAddress } from '../../src/protocol/node-address.js';
import { EventQueue } from './event-queue.js';
import { VirtualStore } from './virtual-store.js';

const EPOCH_MS = 1_700_000_000_000;
const LINK_LOSS_DELAY_MS = 1_000;
const BOOKMARK_MS = 5_000;

type WithoutTime<E> = E extends Event ? Omit<E, 'at'> : never;
type UntimedEvent = WithoutTime<Event>;

/** A node of the cluster. */
export interface VirtualNode {
  readonly id: NodeId;
  readonly zone: string;
  readonly state: CoreState;
  readonly clockOffset: number;
  readonly timers: Map<string, number>;
  running: boolean;
  pausedUntil: number;
  watching: boolean;
  watch: number;
  datagrams: number;
  bytes: number;
  largestDatagram: number;
  readonly effects: Effect[];
}

interface Delivery {
  readonly node: VirtualNode;
  readonly event: UntimedEvent;
  /** For timers: the timer fires only if it is still set for the time `due`. */
  readonly timer?: string;
  readonly due?: number;
}

type Scheduled = Delivery | (() => void);

/** Options of a cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly lossShare?: number;
  readonly delayMs?: number;
  /** Whether to measure the encoded size of each message, which slows the tests. */
  readonly measure?: boolean;
  /** Called with each effect of each node. */
  readonly onEffect?: (node: VirtualNode, effect: Effect, now: number) => void;
}

/** Name, zone, port and seeds of a node to start. */
export interface NodePlace {
  readonly id: string;
  readonly zone: string;
  readonly port: number;
  readonly seeds: readonly number[];
  /** How far the machine's wall clock is ahead, in milliseconds; 0 when absent. */
  readonly clockAheadMs?: number;
}

const toAddress = (port: number): PeerAddress => ({ host: '127.0.0.1', port });

/** A cluster of nodes on a virtual network. */
export class VirtualCluster {
  now = 0;
  storeRequests: { readonly at: number; readonly zone: string; readonly type: string }[] = [];
  readonly store = new VirtualStore();
  readonly nodes = new Map<string, VirtualNode>();
  private readonly listening = new Map<number, VirtualNode>();
  private readonly queue = new EventQueue<Scheduled>();
  private readonly random: Random;
  private readonly cuts = new Set<string>();

  constructor(private readonly options: ClusterOptions) {
    this.random = createRandom(options.seed);
  }

  /** Starts a process; an earlier process at the same port must have ended. */
  start(place: NodePlace): VirtualNode {
    const id = identifier<NodeId>(place.id);
    const self = {
      node: id,
      zone: identifier<ZoneName>(place.zone),
      region: 'south',
      address: toAddress(place.port),
      incarnation: EPOCH_MS + Math.round(this.now) + (place.clockAheadMs ?? 0),
    };
    const seeds = place.seeds.map(toAddress);
    const seed = this.random.nextBelow(2 ** 31);
    const node: VirtualNode = {
      id,
      zone: place.zone,
      state: createCoreState({ self, seeds, seed }),
      clockOffset: this.random.nextBelow(1_000_000) - this.now,
      timers: new Map(),
      running: true,
      pausedUntil: 0,
      watching: false,
      watch: 0,
      datagrams: 0,
      bytes: 0,
      largestDatagram: 0,
      effects: [],
    };
    this.nodes.set(place.id, node);
    this.listening.set(place.port, node);
    this.handle(node, { type: 'started' });
    return node;
  }

  /** Starts `count` nodes, spread over `zones`, all with the first three as seeds. */
  startMany(count: number, zones: readonly string[]): VirtualNode[] {
    return Array.from({ length: count }, (_, index) =>
      this.start({
        id: `node-${index}`,
        zone: zones[index % zones.length] as string,
        port: 9_000 + index,
        seeds: [9_000, 9_001, 9_002],
      }),
    );
  }

  /** Returns the last started node of that name; throws an error if there is none. */
  node(id: string): VirtualNode {
    const node = this.nodes.get(id);
    if (node === undefined) {
      throw new Error(`node ${id} does not exist`);
    }
    return node;
  }

  /** Kills a process. */
  kill(id: string): void {
    this.node(id).running = false;
  }

  /** Pauses a process for `forMs` milliseconds; events that arrive meanwhile are queued. */
  pause(id: string, forMs: number): void {
    this.node(id).pausedUntil = this.now + forMs;
  }

  /** Requests a planned stop of a process. */
  stop(id: string): void {
    this.handle(this.node(id), { type: 'stop-requested' });
  }

  /** Cuts two zones off from each other; the zone `store` stands for the store. */
  cut(zoneA: string, zoneB: string): void {
    this.cuts.add([zoneA, zoneB].sort().join('|'));
  }

  /** Heals all cuts. */
  heal(): void {
    this.cuts.clear();
  }

  /** Delivers an event to a node at the current time, or after its pause. */
  handle(node: VirtualNode, event: UntimedEvent): void {
    if (!node.running) {
      return;
    }
    if (node.pausedUntil > this.now) {
      this.queue.add(node.pausedUntil, { node, event });
      return;
    }
    this.apply(node, (state, at) => step(state, { ...event, at } as Event));
  }

  /** Applies a change to a node's state and executes the resulting effects. */
  apply(node: VirtualNode, change: (state: CoreState, at: number) => Effect[]): void {
    for (const effect of change(node.state, this.now + node.clockOffset)) {
      this.options.onEffect?.(node, effect, this.now);
      this.executeEffect(node, effect);
    }
  }

  /** Runs the cluster for `forMs` milliseconds of virtual time. */
  run(forMs: number): void {
    const until = this.now + forMs;
    while (this.queue.nextAt <= until) {
      this.now = Math.max(this.now, this.queue.nextAt);
      this.dispatch(this.queue.pop() as Scheduled);
    }
    this.now = until;
  }

  /** Runs until `condition` holds and returns the virtual time it took; throws after `limitMs`. */
  runUntil(condition: () => boolean, limitMs: number, stepMs = 10): number {
    const startedAt = this.now;
    while (!condition()) {
      if (this.now - startedAt > limitMs) {
        throw new Error(`the condition does not hold after ${limitMs} ms`);
      }
      this.run(stepMs);
    }
    return this.now - startedAt;
  }

  /** Returns all running processes. */
  running(): VirtualNode[] {
    return [...this.nodes.values()].filter((node) => node.running);
  }

  /** Returns the state of `subject` in the member table of `observer`. */
  stateOf(observer: VirtualNode, subject: string): MemberState | 'unknown' {
    return observer.state.membership.members.get(identifier<NodeId>(subject))?.state ?? 'unknown';
  }

  /** Returns whether every running node considers exactly the running nodes to be alive. */
  isConverged(): boolean {
    const running = this.running();
    const names = new Set<string>(running.map((node) => node.id));
    return running.every((observer) => {
      const members = [...observer.state.membership.members.values()];
      const alive = members.filter((member) => member.state === 'alive');
      return (
        alive.length === names.size && alive.every((member) => names.has(member.identity.node))
      );
    });
  }

  private dispatch(scheduled: Scheduled): void {
    if (typeof scheduled === 'function') {
      scheduled();
      return;
    }
    const { node, event, timer, due } = scheduled;
    if (!node.running) {
      return;
    }
    if (node.pausedUntil > this.now) {
      const order = timer === undefined ? 0.001 : 0;
      this.queue.add(node.pausedUntil + order, scheduled);
      return;
    }
    if (timer !== undefined) {
      if (node.timers.get(timer) !== due) {
        return;
      }
      node.timers.delete(timer);
    }
    this.handle(node, event);
  }

  private isCut(zoneA: string, zoneB: string): boolean {
    return this.cuts.has([zoneA, zoneB].sort().join('|'));
  }

  private delay(): number {
    return (this.options.delayMs ?? 1) * (0.5 + this.random.next());
  }

  private executeEffect(node: VirtualNode, effect: Effect): void {
    switch (effect.type) {
      case 'set-timer':
        this.setTimer(node, effect);
        break;
      case 'cancel-timer':
        node.timers.delete(`${effect.key.purpose}:${effect.key.subject}`);
        break;
      case 'send-datagram':
        this.sendDatagram(node, effect);
        break;
      case 'send-link':
        this.sendLink(node, effect);
        break;
      case 'end-process':
        node.running = false;
        break;
      default:
        this.executeStoreEffect(node, effect);
    }
  }

  private setTimer(node: VirtualNode, effect: Extract<Effect, { type: 'set-timer' }>): void {
    const timer = `${effect.key.purpose}:${effect.key.subject}`;
    const due = Math.max(this.now, effect.at - node.clockOffset);
    node.timers.set(timer, due);
    this.queue.add(due, { node, event: { type: 'timer-fired', key: effect.key }, timer, due });
  }

  private measureSize(message: unknown): number {
    return this.options.measure === true ? encode(message).length : 0;
  }

  private sendDatagram(
    node: VirtualNode,
    { to, message }: Extract<Effect, { type: 'send-datagram' }>,
  ): void {
    const bytes = this.measureSize(message);
    node.datagrams += 1;
    node.bytes += bytes;
    node.largestDatagram = Math.max(node.largestDatagram, bytes);
    const target = this.listening.get(to.port);
    const lost = this.random.next() < (this.options.lossShare ?? 0);
    if (target === undefined || lost || this.isCut(node.zone, target.zone)) {
      return;
    }
    this.queue.add(this.now + this.delay(), {
      node: target,
      event: { type: 'datagram-arrived', message },
    });
  }

  private sendLink(
    node: VirtualNode,
    { to, address, message }: Extract<Effect, { type: 'send-link' }>,
  ): void {
    node.bytes += this.measureSize(message);
    const target = this.listening.get(address.port);
    const isCut = target !== undefined && this.isCut(node.zone, target.zone);
    const isAbsent = target === undefined || !target.running || target.id !== to;
    if (isAbsent || isCut) {
      const after = isCut ? LINK_LOSS_DELAY_MS : this.delay();
      this.queue.add(this.now + after, { node, event: { type: 'link-lost', peer: to } });
      return;
    }
    const event = { type: 'link-message-arrived', from: node.id, message } as const;
    this.queue.add(this.now + 2 * this.delay(), { node: target, event });
  }

  private isStoreReachable(node: VirtualNode): boolean {
    return !this.store.down && !this.isCut(node.zone, 'store');
  }

  private executeStoreEffect(node: VirtualNode, effect: Effect): void {
    switch (effect.type) {
      case 'watch-store':
        this.countStoreRequest(node, effect.type);
        this.watchStore(node, effect.after);
        break;
      case 'unwatch-store':
        node.watching = false;
        node.watch += 1;
        break;
      case 'read-machines':
        this.countStoreRequest(node, effect.type);
        this.readMachines(node);
        break;
      case 'read-object':
        this.countStoreRequest(node, effect.type);
        this.readObject(node, effect);
        break;
      case 'write-object':
        this.countStoreRequest(node, effect.type);
        this.writeObject(node, effect);
        break;
      default:
        node.effects.push(effect);
    }
  }

  private countStoreRequest(node: VirtualNode, type: string): void {
    this.storeRequests.push({ at: this.now, zone: node.zone, type });
  }

  private scheduleStoreReply(action: () => void): void {
    this.queue.add(this.now + this.delay(), action);
  }

  private watchStore(node: VirtualNode, after: number): void {
    node.watching = true;
    node.watch += 1;
    const watch = node.watch;
    this.scheduleStoreReply(() => {
      this.pollWatch(node, watch, after, Number.NEGATIVE_INFINITY);
    });
  }

  /** Polls the store every 5 ms for a watch and sends changes or bookmarks to the node. */
  private pollWatch(node: VirtualNode, watch: number, after: number, lastSentAt: number): void {
    if (node.watch !== watch || !node.running) {
      return;
    }
    if (!this.isStoreReachable(node)) {
      node.watching = false;
      this.handle(node, { type: 'store-failed', problem: 'connection refused' });
      return;
    }
    const through = this.store.revision;
    const shouldSend = through !== after || this.now - lastSentAt >= BOOKMARK_MS;
    if (shouldSend) {
      const objects = this.store.changesAfter(after);
      this.handle(node, { type: 'store-changed', after, through, objects });
    }
    this.queue.add(this.now + 5, () => {
      this.pollWatch(node, watch, shouldSend ? through : after, shouldSend ? this.now : lastSentAt);
    });
  }

  private readMachines(node: VirtualNode): void {
    const machines = [...this.store.machines];
    this.scheduleStoreReply(() => {
      this.handle(
        node,
        this.isStoreReachable(node)
          ? { type: 'machines-read', machines }
          : { type: 'store-failed', request: 'machines', problem: 'connection refused' },
      );
    });
  }

  private readObject(
    node: VirtualNode,
    { request, name }: Extract<Effect, { type: 'read-object' }>,
  ): void {
    this.scheduleStoreReply(() => {
      if (!this.isStoreReachable(node)) {
        this.handle(node, { type: 'object-request-failed', request, problem: 'down' });
        return;
      }
      const object = this.store.objects.get(name);
      this.handle(node, { type: 'object-read', request, ...(object && { object }) });
    });
  }

  private writeObject(
    node: VirtualNode,
    { request, name, expectedVersion, content }: Extract<Effect, { type: 'write-object' }>,
  ): void {
    this.scheduleStoreReply(() => {
      if (!this.isStoreReachable(node)) {
        this.handle(node, { type: 'object-request-failed', request, problem: 'down' });
        return;
      }
      const version = this.store.objects.get(name)?.version ?? 0;
      if (version !== expectedVersion) {
        this.handle(node, { type: 'object-write-refused', request, version });
        return;
      }
      const written = this.store.write(name, content);
      this.handle(node, {
        type: 'object-written',
        request,
        version: written.version,
        revision: written.revision,
      });
    });
  }
}
