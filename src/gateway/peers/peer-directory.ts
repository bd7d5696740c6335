/** The gateways that the store lists, and which of them failed to answer this one lately. */
import type { PeerRecord } from '../model/peer-record.js';

/** A peer that failed is passed over until it answers again, and no longer than this, in milliseconds. */
const LONGEST_SUSPICION_MS = 10_000;

/** Peers by name. */
export class PeerDirectory {
  private records = new Map<string, PeerRecord>();
  /** Until when each suspect is passed over. */
  private readonly suspects = new Map<string, number>();
  /** Rises whenever the records change. */
  generation = 0;

  get size(): number {
    return this.records.size;
  }

  find(name: string): PeerRecord | undefined {
    return this.records.get(name);
  }

  all(): IterableIterator<PeerRecord> {
    return this.records.values();
  }

  /** Takes a whole list in place of the one before. */
  replaceAll(records: readonly PeerRecord[]): void {
    this.records = new Map(records.map((record) => [record.name, record]));
    this.generation += 1;
  }

  /** A peer did not answer, or is leaving. */
  suspect(name: string, at: number): void {
    this.suspects.set(name, at + LONGEST_SUSPICION_MS);
  }

  /** A peer has answered. */
  trust(name: string): void {
    this.suspects.delete(name);
  }

  isSuspect(name: string, at: number): boolean {
    return (this.suspects.get(name) ?? Number.NEGATIVE_INFINITY) > at;
  }
}
