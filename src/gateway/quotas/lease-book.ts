/** The owner's record of the tokens that holders may still use. */
import { LEASE_COUNTED_MS } from './divide-quota.js';
import { putBack, type TokenBucket } from './token-bucket.js';

/** What a holder's request says about earlier grants. */
export interface HolderReport {
  readonly process: number;
  readonly sequence: number;
  readonly used: number;
  readonly unused: number;
  readonly returned: number;
  readonly returnLimit: number;
}

interface BookedLease {
  readonly process: number;
  readonly sequence: number;
  /** Total of used tokens in the last report. */
  readonly used: number;
  /** Tokens that the holder may have used since that report, or may still use. */
  readonly leased: number;
  readonly expiresAt: number;
}

/** Outcome of a report. `outdated`: a later request of the holder was received before; it gets no answer. */
export type ReportOutcome = 'outdated' | 'renewed' | 'unknown';

/** Leases by holder, in the order in which they expire. */
export class LeaseBook {
  private readonly leases = new Map<string, BookedLease>();

  get size(): number {
    return this.leases.size;
  }

  /** Holders with the most leased tokens, largest first. */
  largest(count: number): readonly (readonly [string, number])[] {
    return [...this.leases]
      .map(([holder, { leased }]) => [holder, leased] as const)
      .sort(([, left], [, right]) => right - left)
      .slice(0, count);
  }

  /**
   * Forgets leases that have expired. Their tokens do not return to the bucket: they may have been used without a report.
   */
  expire(bucket: TokenBucket, at: number): void {
    for (const [holder, lease] of this.leases) {
      if (lease.expiresAt > at) {
        return;
      }
      this.drop(bucket, holder, lease);
    }
  }

  /**
   * Applies a holder's report. Tokens that it neither used nor holds return to the bucket: the holder accepts only the answer
   * to its newest request, so that it can no longer receive them. The tokens it holds are leased to it again.
   *
   * The tokens of an unknown lease, of another process or of one that has expired, may have been used.
   */
  report(bucket: TokenBucket, holder: string, report: HolderReport, at: number): ReportOutcome {
    this.expire(bucket, at);
    const lease = this.leases.get(holder);
    if (lease?.process === report.process && report.sequence <= lease.sequence) {
      return 'outdated';
    }
    const isKnown = lease?.process === report.process;
    const left = isKnown ? lease.leased - (report.used - lease.used) : 0;
    const isRenewed = isKnown && left >= report.unused;
    if (lease !== undefined) {
      this.drop(bucket, holder, lease);
    }
    if (isRenewed) {
      bucket.available += left - report.unused;
      putBack(bucket, report.returned, report.returnLimit);
    }
    this.write(bucket, holder, report, isRenewed ? report.unused : 0, at);
    return isRenewed ? 'renewed' : 'unknown';
  }

  /** Leases further tokens, which were taken from the bucket, to a holder that has just reported. */
  lease(bucket: TokenBucket, holder: string, count: number): void {
    const lease = this.leases.get(holder);
    if (lease !== undefined && count > 0) {
      bucket.leased += count;
      this.leases.set(holder, { ...lease, leased: lease.leased + count });
    }
  }

  private write(
    bucket: TokenBucket,
    holder: string,
    { process, sequence, used }: HolderReport,
    leased: number,
    at: number,
  ): void {
    bucket.leased += leased;
    this.leases.set(holder, { process, sequence, used, leased, expiresAt: at + LEASE_COUNTED_MS });
  }

  private drop(bucket: TokenBucket, holder: string, { leased }: BookedLease): void {
    bucket.leased = Math.max(0, bucket.leased - leased);
    this.leases.delete(holder);
  }
}
