/** The gateways that the store lists, and which of them failed to answer this one lately. */
import type { PeerRecord } from '../model/peer-record.js';

/** Time for which a peer that failed is passed over, in milliseconds: doubled each time. */
const FIRST_SUSPICION_MS = 1_000;
const LONGEST_SUSPICION_MS = 8_000;

interface Suspicion {
  readonly until: number;
  readonly failures: number;
}

/** Peers by name. */
export class PeerDirectory {
  private records = new Map<string, PeerRecord>();
  private readonly suspicions = new Map<string, Suspicion>();
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

  /** A peer did not answer, or is leaving; returns for how long it is passed over. */
  suspect(name: string, at: number): number {
    const failures = this.suspicions.get(name)?.failures ?? 0;
    const forMs = Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** failures);
    this.suspicions.set(name, { until: at + forMs, failures: failures + 1 });
    return forMs;
  }

  /** A peer has answered. */
  trust(name: string): void {
    this.suspicions.delete(name);
  }

  isSuspect(name: string, at: number): boolean {
    return (this.suspicions.get(name)?.until ?? Number.NEGATIVE_INFINITY) > at;
  }
}
