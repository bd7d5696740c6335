/** The platform's store in a simulation: versioned objects, watches, faults and machine list. */
import type { StoreContent, StoreObject } from '../catalog/store-object.js';
import type { ObjectName, StoreRequestId } from '../core/identifiers.js';
import type { DisturbanceTracker } from './disturbance-tracker.js';
import type { Reachability } from './reachability.js';
import type { Scheduler } from './scheduler.js';
import type { SimulatedNode } from './simulated-node.js';
import { StoreDisturbance } from './store-disturbance.js';
import type { MachineChange } from '../standins/store-model/machine-list.js';
import type { StoreFaultChange, StoreFaults } from '../standins/store-model/store-faults.js';
import { StoreModel, type WriteOutcome } from '../standins/store-model/store-model.js';

/** One-way latency between a node and the store, in milliseconds. */
const STORE_LATENCY_MS = 1;
/** Timeout of a node's request to the store, in milliseconds. */
const STORE_REQUEST_TIMEOUT_MS = 5_000;
/** Time without any message, bookmarks included, after which a watch fails, in milliseconds. */
const WATCH_TIMEOUT_MS = 15_000;
/** Interval between the bookmarks of a watch without changes, in milliseconds. */
const BOOKMARK_MS = 5_000;
/** The store's location in the network; cutting off its zone makes the store unreachable. */
const STORE_PLACE = { name: 'platform', zone: 'platform' } as const;

interface Watch {
  readonly node: SimulatedNode;
  readonly process: number;
  through: number;
  lastMessageAt: number;
  isActive: boolean;
  ended: boolean;
}

/** Number of requests to the store, for the checks that limit them. */
export interface StoreLoad {
  reads: number;
  writes: number;
  watches: number;
  machineReads: number;
}

/** The store as nodes access it over the virtual network. */
export class SimulatedStore {
  readonly model: StoreModel;
  /** All accepted writes, oldest first, including those that were rolled back later. */
  readonly history: StoreObject[] = [];
  readonly load: StoreLoad = { reads: 0, writes: 0, watches: 0, machineReads: 0 };
  /** Called for each accepted write. */
  onStored: ((object: StoreObject) => void) | undefined;
  private readonly watches = new Map<SimulatedNode, Watch>();
  /** The last watch that each node requested; the end of an earlier watch is not reported. */
  private readonly wanted = new Map<SimulatedNode, Watch>();
  private readonly disturbance: StoreDisturbance;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly reachability: Reachability,
    disturbances: DisturbanceTracker,
    seed: number,
  ) {
    this.model = new StoreModel({ objects: [], seed });
    this.disturbance = new StoreDisturbance(scheduler, disturbances, () => ({
      down: this.faults.down,
      delayMs: this.faults.delayMs,
      watchers: this.countActiveWatches(),
    }));
  }

  /** The faults currently in effect. */
  get faults(): StoreFaults {
    return this.model.currentFaults;
  }

  /**
   * Writes an object on behalf of the platform, whatever its current version.
   *
   * @throws Error if the store does not hold the object afterwards
   */
  put(name: string, content: StoreContent): StoreObject {
    const expected = this.model.read(name)?.version ?? 0;
    this.write(name, expected, content);
    const written = this.model.read(name);
    if (written === undefined) {
      throw new Error(`object ${name} is missing from the store after its write`);
    }
    return written;
  }

  /** Nodes that currently watch the store. */
  get watchers(): SimulatedNode[] {
    return [...this.watches.values()].filter((watch) => !watch.ended).map((watch) => watch.node);
  }

  /** Changes some of the faults; watches end immediately when the store goes down. */
  setFaults(change: StoreFaultChange): void {
    this.model.setFaults(change);
    this.disturbance.handleFaultChange(change.rollBackTo !== undefined);
    for (const watch of [...this.watches.values()]) {
      if (this.faults.down) {
        this.endWatch(watch, STORE_LATENCY_MS, 'the watch ended');
      }
      watch.through = Math.min(watch.through, this.model.revision);
    }
  }

  /** Adds, changes or removes a machine; the machine list shows the change with a delay. */
  changeMachine(change: MachineChange): void {
    this.model.changeMachine(this.scheduler.now, change);
  }

  /** Starts a node's watch and replaces its previous one. */
  watch(node: SimulatedNode, after: number): void {
    this.unwatch(node);
    const watch: Watch = {
      node,
      process: node.processNumber,
      through: after,
      lastMessageAt: this.scheduler.now,
      isActive: false,
      ended: false,
    };
    this.watches.set(node, watch);
    this.wanted.set(node, watch);
    this.load.watches += 1;
    this.scheduler.schedule(STORE_LATENCY_MS, () => {
      this.activateWatch(watch);
    });
    this.scheduler.schedule(WATCH_TIMEOUT_MS, () => {
      this.checkWatchTimeout(watch);
    });
  }

  /** Ends a node's watch. */
  unwatch(node: SimulatedNode): void {
    this.wanted.delete(node);
    const watch = this.watches.get(node);
    if (watch !== undefined) {
      watch.ended = true;
      this.watches.delete(node);
    }
  }

  /** Reads one object for a node. */
  readObject(node: SimulatedNode, request: StoreRequestId, name: ObjectName): void {
    this.load.reads += 1;
    this.handleRequest(node, request, () => {
      const object = this.model.read(name);
      return () => {
        node.deliver({ type: 'object-read', request, ...(object && { object }) });
      };
    });
  }

  /** Writes an object for a node if its version is `expectedVersion`. */
  writeObject(
    node: SimulatedNode,
    request: StoreRequestId,
    name: ObjectName,
    expectedVersion: number,
    content: StoreContent,
  ): void {
    this.load.writes += 1;
    this.handleRequest(node, request, () => {
      const written = this.write(name, expectedVersion, content);
      if (written.type === 'refused') {
        const { version } = written;
        return () => {
          node.deliver({ type: 'object-write-refused', request, version });
        };
      }
      if (written.answerLost) {
        return undefined;
      }
      const { version, revision } = written;
      return () => {
        node.deliver({ type: 'object-written', request, version, revision });
      };
    });
  }

  /** Reads the machine list for a node. */
  readMachines(node: SimulatedNode): void {
    this.load.machineReads += 1;
    const process = node.processNumber;
    if (this.faults.down || this.reachability.isCut(node, STORE_PLACE)) {
      return;
    }
    this.scheduler.schedule(2 * STORE_LATENCY_MS + this.faults.delayMs, () => {
      if (node.isProcess(process) && !this.reachability.isCut(node, STORE_PLACE)) {
        node.deliver({ type: 'machines-read', machines: this.model.machines(this.scheduler.now) });
      }
    });
  }

  private countActiveWatches(): number {
    return [...this.watches.values()].filter(({ isActive }) => isActive).length;
  }

  private write(name: string, expectedVersion: number, content: StoreContent): WriteOutcome {
    const outcome = this.model.write(name, expectedVersion, content);
    const object = this.model.read(name);
    if (outcome.type === 'written' && object !== undefined) {
      this.history.push(object);
      this.onStored?.(object);
      this.notifyWatches();
    }
    return outcome;
  }

  private handleRequest(
    node: SimulatedNode,
    request: StoreRequestId,
    work: () => (() => void) | undefined,
  ): void {
    const process = node.processNumber;
    if (this.reachability.isCut(node, STORE_PLACE)) {
      this.failRequest(node, process, request, STORE_REQUEST_TIMEOUT_MS, 'timed out');
      return;
    }
    if (this.faults.down) {
      this.failRequest(node, process, request, STORE_LATENCY_MS, 'connection refused');
      return;
    }
    this.scheduler.schedule(STORE_LATENCY_MS, () => {
      const answer = work();
      const delayMs = STORE_LATENCY_MS + this.faults.delayMs;
      const isLost = answer === undefined || delayMs > STORE_REQUEST_TIMEOUT_MS;
      if (isLost) {
        this.failRequest(node, process, request, STORE_REQUEST_TIMEOUT_MS, 'timed out');
        return;
      }
      this.scheduler.schedule(delayMs, () => {
        this.answer(node, process, request, answer);
      });
    });
  }

  private answer(
    node: SimulatedNode,
    process: number,
    request: StoreRequestId,
    answer: () => void,
  ): void {
    if (this.faults.down || this.reachability.isCut(node, STORE_PLACE)) {
      this.failRequest(node, process, request, STORE_LATENCY_MS, 'connection lost');
    } else if (node.isProcess(process)) {
      answer();
    }
  }

  private failRequest(
    node: SimulatedNode,
    process: number,
    request: StoreRequestId,
    afterMs: number,
    problem: string,
  ): void {
    this.scheduler.schedule(afterMs, () => {
      if (node.isProcess(process)) {
        node.deliver({ type: 'object-request-failed', request, problem });
      }
    });
  }

  private activateWatch(watch: Watch): void {
    if (watch.ended) {
      return;
    }
    if (this.reachability.isCut(watch.node, STORE_PLACE)) {
      this.endWatch(watch, STORE_REQUEST_TIMEOUT_MS, 'timed out');
      return;
    }
    if (this.faults.down) {
      this.endWatch(watch, STORE_LATENCY_MS, 'connection refused');
      return;
    }
    watch.isActive = true;
    this.sendChanges(watch);
    this.disturbance.endIfOver();
    this.scheduler.schedule(BOOKMARK_MS, () => {
      this.sendBookmark(watch);
    });
  }

  private sendBookmark(watch: Watch): void {
    if (watch.ended) {
      return;
    }
    this.sendChanges(watch);
    this.scheduler.schedule(BOOKMARK_MS, () => {
      this.sendBookmark(watch);
    });
  }

  private notifyWatches(): void {
    for (const watch of this.watches.values()) {
      this.sendChanges(watch);
    }
  }

  private sendChanges(watch: Watch): void {
    if (watch.ended || this.faults.down || this.reachability.isCut(watch.node, STORE_PLACE)) {
      return;
    }
    const after = watch.through;
    const through = this.model.revision;
    const objects = this.model.readAll(after);
    watch.through = through;
    const delayMs = STORE_LATENCY_MS + this.faults.delayMs;
    this.disturbance.recordAnswer(this.scheduler.now + delayMs);
    this.scheduler.schedule(delayMs, () => {
      if (!watch.ended && watch.node.isProcess(watch.process)) {
        watch.lastMessageAt = this.scheduler.now;
        watch.node.deliver({ type: 'store-changed', after, through, objects });
      }
    });
  }

  private checkWatchTimeout(watch: Watch): void {
    if (watch.ended) {
      return;
    }
    const silentMs = this.scheduler.now - watch.lastMessageAt;
    if (silentMs >= WATCH_TIMEOUT_MS) {
      this.endWatch(watch, 0, 'the watch is silent');
      return;
    }
    this.scheduler.schedule(WATCH_TIMEOUT_MS - silentMs, () => {
      this.checkWatchTimeout(watch);
    });
  }

  private endWatch(watch: Watch, afterMs: number, problem: string): void {
    watch.ended = true;
    if (this.watches.get(watch.node) === watch) {
      this.watches.delete(watch.node);
    }
    this.scheduler.schedule(afterMs, () => {
      if (watch.node.isProcess(watch.process) && this.wanted.get(watch.node) === watch) {
        watch.node.deliver({ type: 'store-failed', problem });
      }
    });
  }
}
