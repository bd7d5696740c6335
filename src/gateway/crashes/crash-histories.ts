/** What is known of requests under which replicas have ended, bounded in number and time. */
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
 * Requests that are remembered. Each that is suspected or blocked has cost a replica, so that more than a few at a time
 * come from replicas that end for another cause, and are cleared by their next answer.
 */
const MAX_REQUESTS = 256;

/** Requests by their fingerprint. Times are milliseconds on this gateway's clock. */
export class CrashHistories {
  private readonly byFingerprint = new Map<Fingerprint, CrashHistory>();

  get size(): number {
    return this.byFingerprint.size;
  }

  /** What is known of a request; `NOTHING_KNOWN` where that is nothing. */
  find(fingerprint: Fingerprint, at: number): CrashHistory {
    const history = this.byFingerprint.get(fingerprint);
    return history === undefined || expiresAt(history) <= at ? EMPTY_HISTORY : history;
  }

  verdict(fingerprint: Fingerprint, at: number): CrashVerdict {
    return this.byFingerprint.size === 0
      ? 'unsuspected'
      : verdictOf(this.find(fingerprint, at), at);
  }

  /** Requests that are blocked, or due to be tried. */
  get blockedCount(): number {
    return [...this.byFingerprint.values()].filter(({ level }) => level > 0).length;
  }

  /** All that is known. */
  all(): ReadonlyMap<Fingerprint, CrashHistory> {
    return this.byFingerprint;
  }

  /** Takes what is known now. The least serious request makes room for a new one. */
  put(fingerprint: Fingerprint, history: CrashHistory): void {
    this.byFingerprint.set(fingerprint, history);
    if (this.byFingerprint.size > MAX_REQUESTS) {
      this.evictLeastSerious();
    }
  }

  remove(fingerprint: Fingerprint): void {
    this.byFingerprint.delete(fingerprint);
  }

  /** Forgets what is old. */
  removeExpired(at: number): void {
    for (const [fingerprint, history] of this.byFingerprint) {
      if (expiresAt(history) <= at) {
        this.byFingerprint.delete(fingerprint);
      }
    }
  }

  /** Many requests that met one crash do not push out one that ends replicas. */
  private evictLeastSerious(): void {
    const [leastSerious] = [...this.byFingerprint].reduce((least, each) =>
      isEvictedBefore(each[1], least[1]) ? each : least,
    );
    this.byFingerprint.delete(leastSerious);
  }
}
