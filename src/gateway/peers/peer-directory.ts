/** The gateways that the store lists, and which of them are suspected of having failed. */
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';

/** Longest time that a failed peer is avoided, in milliseconds; an answer ends it earlier. */
const MAX_SUSPICION_MS = 10_000;

/** Peers, indexed by name. */
export class PeerDirectory {
  private readonly records = new Map<string, PeerRecord>();
  /** Names of entries that cannot be decoded, for example of another version: they are counted, but receive no messages. */
  private readonly unreadable = new Set<string>();
  /** When the suspicion of each peer expires, in milliseconds. */
  private readonly suspects = new Map<string, number>();
  /** Rises whenever the records change. */
  generation = 0;

  get size(): number {
    return this.records.size;
  }

  /** Number of entries, including unreadable ones. */
  get listedCount(): number {
    return this.records.size + this.unreadable.size;
  }

  find(name: string): PeerRecord | undefined {
    return this.records.get(name);
  }

  /** Whether the peer has an entry, which may be unreadable. */
  has(name: string): boolean {
    return this.records.has(name) || this.unreadable.has(name);
  }

  all(): IterableIterator<PeerRecord> {
    return this.records.values();
  }

  /** Names of all entries, including unreadable ones. */
  names(): readonly string[] {
    return [...this.records.keys(), ...this.unreadable];
  }

  /** Adds or updates an entry; returns whether anything changed. */
  put(record: PeerRecord): boolean {
    const known = this.records.get(record.name);
    const wasUnreadable = this.unreadable.delete(record.name);
    if (known !== undefined && isSamePeerRecord(known, record)) {
      return wasUnreadable;
    }
    this.records.set(record.name, record);
    this.generation += 1;
    return true;
  }

  /** Records an entry that could not be decoded; returns whether anything changed. */
  putUnreadable(name: string): boolean {
    if (this.unreadable.has(name)) {
      return false;
    }
    this.remove(name);
    this.unreadable.add(name);
    return true;
  }

  /** Removes an entry; returns whether it existed. */
  remove(name: string): boolean {
    if (this.records.delete(name)) {
      this.generation += 1;
      return true;
    }
    return this.unreadable.delete(name);
  }

  /** Marks a peer as suspect that did not answer or is stopping. */
  suspect(name: string, at: number): void {
    this.suspects.set(name, at + MAX_SUSPICION_MS);
  }

  /** Ends the suspicion of a peer that has answered. */
  trust(name: string): void {
    this.suspects.delete(name);
  }

  isSuspect(name: string, at: number): boolean {
    return (this.suspects.get(name) ?? Number.NEGATIVE_INFINITY) > at;
  }
}
