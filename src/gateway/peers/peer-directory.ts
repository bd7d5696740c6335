/** The gateways that the store lists, and which of them failed to answer this one lately. */
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';

/** A peer that failed is passed over until it answers again, and no longer than this, in milliseconds. */
const MAX_SUSPICION_MS = 10_000;

/** Peers by name. */
export class PeerDirectory {
  private readonly records = new Map<string, PeerRecord>();
  /** Entries that another version has written: they count, but nothing is sent to them. */
  private readonly unreadable = new Set<string>();
  /** Until when each suspect is passed over. */
  private readonly suspects = new Map<string, number>();
  /** Rises whenever the records change. */
  generation = 0;

  get size(): number {
    return this.records.size;
  }

  /** All entries, the unreadable ones among them. */
  get listedCount(): number {
    return this.records.size + this.unreadable.size;
  }

  find(name: string): PeerRecord | undefined {
    return this.records.get(name);
  }

  all(): IterableIterator<PeerRecord> {
    return this.records.values();
  }

  /** Names of all entries. */
  names(): readonly string[] {
    return [...this.records.keys(), ...this.unreadable];
  }

  /** Takes an entry; returns whether that changes anything. */
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

  /** Takes an entry that could not be read; returns whether that changes anything. */
  putUnreadable(name: string): boolean {
    if (this.unreadable.has(name)) {
      return false;
    }
    this.remove(name);
    this.unreadable.add(name);
    return true;
  }

  /** An entry is gone; returns whether it was there. */
  remove(name: string): boolean {
    if (this.records.delete(name)) {
      this.generation += 1;
      return true;
    }
    return this.unreadable.delete(name);
  }

  /** A peer did not answer, or is leaving. */
  suspect(name: string, at: number): void {
    this.suspects.set(name, at + MAX_SUSPICION_MS);
  }

  /** A peer has answered. */
  trust(name: string): void {
    this.suspects.delete(name);
  }

  isSuspect(name: string, at: number): boolean {
    return (this.suspects.get(name) ?? Number.NEGATIVE_INFINITY) > at;
  }
}
