/**
 * Model of the platform's object store without I/O or timers: versioned objects, compare-and-set, a
 * change feed and a machine list. The time is passed in. Drivers implement the delays and broken
 * connections of the faults and notify their watchers after each write.
 */
import type { Machine, StoreContent, StoreObject } from '../../catalog/store-object.js';
import { identifier, type ObjectName } from '../../core/identifiers.js';
import { createRandom, type Random } from '../../core/random.js';
import { type MachineChange, MachineList } from './machine-list.js';
import { HEALTHY_STORE, type StoreFaultChange, type StoreFaults } from './store-faults.js';

/** Maximum number of changes kept for watchers; older changes are dropped. */
const CHANGE_LOG_LIMIT = 20_000;

/** Options of a store model. */
export interface StoreModelOptions {
  readonly objects: readonly StoreObject[];
  readonly seed: number;
  /** Maximum number of changes kept for watchers; `CHANGE_LOG_LIMIT` by default. */
  readonly changeLogLimit?: number;
}

/** Outcome of a write. */
export type WriteOutcome =
  | {
      readonly type: 'written';
      readonly version: number;
      readonly revision: number;
      /** Whether the driver must drop the answer although the write took effect. */
      readonly answerLost: boolean;
    }
  | { readonly type: 'refused'; readonly version: number };

/** The changes after a revision; `gone` if they are no longer kept. */
export type ChangesOutcome =
  | {
      readonly type: 'changes';
      readonly after: number;
      readonly through: number;
      readonly objects: readonly StoreObject[];
    }
  | { readonly type: 'gone' };

const latestOfEach = (objects: readonly StoreObject[]): StoreObject[] => [
  ...new Map(objects.map((object) => [object.name, object])).values(),
];

/** Model of the store of one platform. */
export class StoreModel {
  private readonly random: Random;
  private readonly machineList = new MachineList();
  private readonly changeLogLimit: number;
  /** Writes by revision; those up to `compactedThrough` are reduced to the last of each object. */
  private log: StoreObject[];
  private current: Map<string, StoreObject>;
  private compactedThrough = 0;
  private lastRevision: number;
  private faults: StoreFaults = HEALTHY_STORE;

  constructor(options: StoreModelOptions) {
    this.random = createRandom(options.seed);
    this.changeLogLimit = options.changeLogLimit ?? CHANGE_LOG_LIMIT;
    this.log = [...options.objects].sort((left, right) => left.revision - right.revision);
    this.current = new Map(this.log.map((object) => [object.name, object]));
    this.lastRevision = this.log.at(-1)?.revision ?? 0;
  }

  /** The faults currently in effect. */
  get currentFaults(): StoreFaults {
    return this.faults;
  }

  /** The revision of the last write. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Changes some of the faults. */
  setFaults(change: StoreFaultChange): void {
    const { rollBackTo, ...faults } = change;
    this.faults = { ...this.faults, ...faults };
    if (rollBackTo !== undefined) {
      this.rollBack(rollBackTo);
    }
  }

  /** Returns the object of this name; undefined if there is none. */
  read(name: string): StoreObject | undefined {
    return this.current.get(name);
  }

  /** Returns all objects whose last write is after revision `after`, oldest write first. */
  readAll(after: number): StoreObject[] {
    return [...this.current.values()]
      .filter((object) => object.revision > after)
      .sort((left, right) => left.revision - right.revision);
  }

  /** Writes an object if its version is `expectedVersion`; 0 means that it does not exist. */
  write(name: string, expectedVersion: number, content: StoreContent): WriteOutcome {
    const version = this.current.get(name)?.version ?? 0;
    if (version !== expectedVersion) {
      return { type: 'refused', version };
    }
    this.lastRevision += 1;
    const object: StoreObject = {
      name: identifier<ObjectName>(name),
      version: version + 1,
      revision: this.lastRevision,
      content,
    };
    this.current.set(name, object);
    this.log.push(object);
    this.compactLog();
    const answerLost =
      this.faults.loseAnswerShare > 0 && this.random.next() < this.faults.loseAnswerShare;
    return { type: 'written', version: object.version, revision: object.revision, answerLost };
  }

  /** Returns the changes after `after`; `through` is below `after` if the store was rolled back. */
  changesAfter(after: number): ChangesOutcome {
    if (after < this.compactedThrough) {
      return { type: 'gone' };
    }
    const objects = latestOfEach(this.log.filter((object) => object.revision > after));
    return { type: 'changes', after, through: this.lastRevision, objects };
  }

  /** Returns the machines that the list shows at `at`. */
  machines(at: number): Machine[] {
    return this.machineList.list(at, this.faults.machineListLagMs);
  }

  /** Adds, changes or removes a machine at `at`; the list shows the change with a delay. */
  changeMachine(at: number, change: MachineChange): void {
    this.machineList.change(at, change);
  }

  private compactLog(): void {
    if (this.log.length <= this.changeLogLimit) {
      return;
    }
    const compactedCount = this.log.length - Math.floor(this.changeLogLimit / 2);
    const old = this.log.slice(0, compactedCount);
    this.compactedThrough = old.at(-1)?.revision ?? this.compactedThrough;
    this.log = [...latestOfEach(old), ...this.log.slice(compactedCount)];
  }

  private rollBack(revision: number): void {
    this.log = this.log.filter((object) => object.revision <= revision);
    this.current = new Map(this.log.map((object) => [object.name, object]));
    this.lastRevision = Math.min(this.lastRevision, revision);
    this.compactedThrough = Math.min(this.compactedThrough, this.lastRevision);
  }
}
