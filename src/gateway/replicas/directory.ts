/** The replicas that the store lists and those that have recently left it. */
import { isOtherIncarnation, type ReplicaRecord } from '../model/replica-record.js';
import { createReplica, type Replica } from './replica.js';

/** Replicas, indexed by identifier and by service. */
export class ReplicaDirectory {
  private readonly byId = new Map<string, Replica>();
  private readonly byService = new Map<string, Replica[]>();
  private unreadable = 0;
  /** Rises whenever the set of listed, readable replicas changes. */
  generation = 0;

  get size(): number {
    return this.byId.size;
  }

  find(id: string): Replica | undefined {
    return this.byId.get(id);
  }

  /** The replicas of a service, including those that are leaving, except those with an unreadable entry. */
  of(service: string): readonly Replica[] {
    const replicas = this.siblingsOf(service);
    return this.unreadable === 0 ? replicas : replicas.filter(({ isUnreadable }) => !isUnreadable);
  }

  all(): IterableIterator<Replica> {
    return this.byId.values();
  }

  /** Adds or updates a replica from its entry in the store. */
  put(record: ReplicaRecord, at: number): void {
    const known = this.byId.get(record.id);
    if (known === undefined) {
      const replica = createReplica(record, at);
      this.generation += 1;
      this.byId.set(record.id, replica);
      this.addSibling(replica);
      return;
    }
    if (isOtherIncarnation(record, known.record)) {
      this.replace(known, createReplica(record, at));
      return;
    }
    if (record.coldMs !== known.record.coldMs) {
      known.coldUntil = at + (record.coldLeftMs ?? record.coldMs);
    }
    known.record = record;
    this.generation += Number(known.goneAt !== undefined);
    known.goneAt = undefined;
    this.setUnreadable(known, false);
    known.drainingSince = record.draining ? (known.drainingSince ?? at) : undefined;
  }

  /** Marks a replica whose entry can no longer be decoded. */
  markUnreadable(id: string): void {
    const known = this.byId.get(id);
    if (known !== undefined) {
      this.setUnreadable(known, true);
    }
  }

  /** Marks a replica that the store no longer lists. */
  markGone(id: string, at: number): void {
    const known = this.byId.get(id);
    if (known !== undefined && known.goneAt === undefined) {
      known.goneAt = at;
      this.generation += 1;
    }
  }

  /** Removes replicas that were marked gone before the time `before`, in milliseconds; returns their identifiers. */
  removeGone(before: number): readonly string[] {
    const gone = [...this.byId.values()].filter(
      (replica) => replica.goneAt !== undefined && replica.goneAt < before,
    );
    gone.forEach((replica) => this.remove(replica));
    return gone.map((replica) => replica.record.id);
  }

  /** Replaces a replica by its new incarnation, without the measurements of the previous one. */
  private replace(known: Replica, started: Replica): void {
    this.remove(known);
    this.byId.set(started.record.id, started);
    this.addSibling(started);
    this.generation += 1;
  }

  private remove(replica: Replica): void {
    const { id, service } = replica.record;
    this.setUnreadable(replica, false);
    this.byId.delete(id);
    this.byService.set(
      service,
      this.siblingsOf(service).filter((each) => each !== replica),
    );
  }

  private addSibling(replica: Replica): void {
    const { service } = replica.record;
    const siblings = this.byService.get(service) ?? [];
    siblings.push(replica);
    this.byService.set(service, siblings);
  }

  private siblingsOf(service: string): readonly Replica[] {
    return this.byService.get(service) ?? [];
  }

  private setUnreadable(replica: Replica, isUnreadable: boolean): void {
    if (replica.isUnreadable !== isUnreadable) {
      replica.isUnreadable = isUnreadable;
      this.unreadable += isUnreadable ? 1 : -1;
      this.generation += 1;
    }
  }
}
