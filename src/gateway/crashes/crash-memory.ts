/** What is known of requests under which replicas have ended, bounded in number and time. */
import type { Fingerprint } from '../model/request.js';
import {
  type CrashKnowledge,
  type CrashVerdict,
  forgottenAt,
  isForgottenBefore,
  NOTHING_KNOWN,
  verdictOf,
} from './crash-record.js';

/**
 * Requests that are remembered. Each that is suspected or blocked has cost a replica, so that more than a few at a time
 * come from replicas that end for another cause, and are cleared by their next answer.
 */
const MOST_REMEMBERED = 256;

/** Requests by their fingerprint. Times are milliseconds on this gateway's clock. */
export class CrashMemory {
  private readonly known = new Map<Fingerprint, CrashKnowledge>();

  get size(): number {
    return this.known.size;
  }

  /** What is known of a request; `NOTHING_KNOWN` where that is nothing. */
  find(fingerprint: Fingerprint, at: number): CrashKnowledge {
    const known = this.known.get(fingerprint);
    return known === undefined || forgottenAt(known) <= at ? NOTHING_KNOWN : known;
  }

  verdict(fingerprint: Fingerprint, at: number): CrashVerdict {
    return this.known.size === 0 ? 'unsuspected' : verdictOf(this.find(fingerprint, at), at);
  }

  /** Requests that are blocked, or due to be tried. */
  get blockedCount(): number {
    return [...this.known.values()].filter(({ level }) => level > 0).length;
  }

  /** All that is known. */
  all(): ReadonlyMap<Fingerprint, CrashKnowledge> {
    return this.known;
  }

  /** Takes what is known now. The least serious request makes room for a new one. */
  put(fingerprint: Fingerprint, known: CrashKnowledge): void {
    this.known.set(fingerprint, known);
    if (this.known.size > MOST_REMEMBERED) {
      this.forgetFirst();
    }
  }

  remove(fingerprint: Fingerprint): void {
    this.known.delete(fingerprint);
  }

  /** Forgets what is old. */
  forgetOld(at: number): void {
    for (const [fingerprint, known] of this.known) {
      if (forgottenAt(known) <= at) {
        this.known.delete(fingerprint);
      }
    }
  }

  /** Many requests that met one crash do not push out one that ends replicas. */
  private forgetFirst(): void {
    const [first] = [...this.known].reduce((least, each) =>
      isForgottenBefore(each[1], least[1]) ? each : least,
    );
    this.known.delete(first);
  }
}
