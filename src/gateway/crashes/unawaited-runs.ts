/**
 * Runs that nobody waits for any more: the gateway has closed their connections, and a replica may still work on them,
 * or end under them.
 */
import type { Fingerprint } from '../model/request.js';

/** One of them. Times are milliseconds on this gateway's clock. */
export interface UnawaitedRun {
  readonly fingerprint: Fingerprint;
  /** Rounds of crashes that the gateway knew when it sent the attempt. */
  readonly knownRounds: number;
  readonly sentAt: number;
  /** An end of the replica after that has nothing to do with the run. */
  readonly watchedUntil: number;
}

/** Requests that are remembered for one replica: more than it works on at once. */
const MAX_RUNS_PER_REPLICA = 64;

type RunsByFingerprint = Map<Fingerprint, UnawaitedRun>;

/** The runs by replica; of several of the same request at a replica, the one of which most was known. */
export class UnawaitedRuns {
  private readonly byReplica = new Map<string, RunsByFingerprint>();

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

  /** Whether a replica may be at one. */
  hasRuns(replica: string, at: number): boolean {
    return this.currentRuns(replica, at).size > 0;
  }

  /** Takes the runs out that a replica may have been at when it ended. */
  removeRuns(replica: string, at: number): readonly UnawaitedRun[] {
    const runs = [...this.currentRuns(replica, at).values()];
    this.byReplica.delete(replica);
    return runs;
  }

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
