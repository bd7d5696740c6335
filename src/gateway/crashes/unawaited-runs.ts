/**
 * Unawaited runs: the gateway has closed the connection of the attempt, but the replica may still run the request and
 * crash.
 */
import type { Fingerprint } from '../model/request.js';

/** One unawaited run. Times are milliseconds on this gateway's clock. */
export interface UnawaitedRun {
  readonly fingerprint: Fingerprint;
  /** Rounds of crashes that the gateway knew of when it sent the attempt. */
  readonly knownRounds: number;
  readonly sentAt: number;
  /** A crash of the replica after this time is not attributed to the run. */
  readonly watchedUntil: number;
}

/** Runs kept for one replica: more than a replica runs at once. */
const MAX_RUNS_PER_REPLICA = 64;

type RunsByFingerprint = Map<Fingerprint, UnawaitedRun>;

/**
 * Unawaited runs by replica. Of several runs of one request at a replica, the one sent with the most known rounds is
 * kept.
 */
export class UnawaitedRuns {
  private readonly byReplica = new Map<string, RunsByFingerprint>();

  /** Adds a run. Above the limit, the oldest run of the replica is evicted. */
  add(replica: string, run: UnawaitedRun, at: number): void {
    const runs = this.currentRuns(replica, at);
    const known = runs.get(run.fingerprint);
    if (known === undefined || known.knownRounds <= run.knownRounds) {
      runs.delete(run.fingerprint);
      runs.set(run.fingerprint, run);
    }
    const [oldest] = runs.keys();
    if (runs.size > MAX_RUNS_PER_REPLICA && oldest !== undefined) {
      runs.delete(oldest);
    }
    this.byReplica.set(replica, runs);
  }

  /** Whether a replica may still be running one. */
  hasRuns(replica: string, at: number): boolean {
    return this.currentRuns(replica, at).size > 0;
  }

  /** Removes and returns the runs that a replica may have been working on when it crashed. */
  removeRuns(replica: string, at: number): readonly UnawaitedRun[] {
    const runs = [...this.currentRuns(replica, at).values()];
    this.byReplica.delete(replica);
    return runs;
  }

  /** The runs of a replica that are still watched; removes the others. */
  private currentRuns(replica: string, at: number): RunsByFingerprint {
    const runs = this.byReplica.get(replica) ?? new Map<Fingerprint, UnawaitedRun>();
    for (const [fingerprint, { watchedUntil }] of runs) {
      if (watchedUntil < at) {
        runs.delete(fingerprint);
      }
    }
    return runs;
  }
}
