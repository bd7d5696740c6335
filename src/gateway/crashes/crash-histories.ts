/** The crash histories of requests, limited in number and age. */
import type { Fingerprint } from '../model/request.js';
import {
  type CrashHistory,
  type CrashVerdict,
  expiresAt,
  isEvictedBefore,
  EMPTY_HISTORY,
  verdictOf,
} from './crash-history.js';

/**
 * Requests whose history is kept. Each suspected or blocked request has cost a replica. More than a few at a time
 * therefore mean that replicas crash for another reason, and the next answer to each of these requests clears it.
 */
const MAX_REQUESTS = 256;

/** Crash histories by request fingerprint. Times are milliseconds on this gateway's clock. */
export class CrashHistories {
  private readonly byFingerprint = new Map<Fingerprint, CrashHistory>();

  get size(): number {
    return this.byFingerprint.size;
  }

  /** The history of a request; `EMPTY_HISTORY` where there is none or it has expired. */
  find(fingerprint: Fingerprint, at: number): CrashHistory {
    const history = this.byFingerprint.get(fingerprint);
    return history === undefined || expiresAt(history) <= at ? EMPTY_HISTORY : history;
  }

  /** What the gateway may do with a request now. */
  verdict(fingerprint: Fingerprint, at: number): CrashVerdict {
    return this.byFingerprint.size === 0
      ? 'unsuspected'
      : verdictOf(this.find(fingerprint, at), at);
  }

  /** Number of requests that are blocked or due for a trial. */
  get blockedCount(): number {
    return [...this.byFingerprint.values()].filter(({ level }) => level > 0).length;
  }

  /** All histories, including expired ones that have not been removed yet. */
  all(): ReadonlyMap<Fingerprint, CrashHistory> {
    return this.byFingerprint;
  }

  /** Stores the history of a request. Above the limit, the least serious request is evicted. */
  put(fingerprint: Fingerprint, history: CrashHistory): void {
    this.byFingerprint.set(fingerprint, history);
    if (this.byFingerprint.size > MAX_REQUESTS) {
      this.evictLeastSerious();
    }
  }

  remove(fingerprint: Fingerprint): void {
    this.byFingerprint.delete(fingerprint);
  }

  /** Removes histories that have expired. */
  removeExpired(at: number): void {
    for (const [fingerprint, history] of this.byFingerprint) {
      if (expiresAt(history) <= at) {
        this.byFingerprint.delete(fingerprint);
      }
    }
  }

  /** Evicts by severity, so that many requests that met a single crash do not displace a poison request. */
  private evictLeastSerious(): void {
    const [leastSerious] = [...this.byFingerprint].reduce((least, each) =>
      isEvictedBefore(each[1], least[1]) ? each : least,
    );
    this.byFingerprint.delete(leastSerious);
  }
}
