/** Checks of runs: no refused request runs, and no at-most-once request runs twice. */
import type { RunRecord } from '../replica-record.js';
import type { ReportViolation } from './violation.js';

/** Compares the replicas' records with the outcomes that callers received. */
export class RunChecks {
  private readonly runsByRequest = new Map<string, RunRecord[]>();
  private readonly refused = new Set<string>();
  private readonly runsByKey = new Map<string, RunRecord>();

  constructor(private readonly report: ReportViolation) {}

  /** Returns the attempts that ran for a request. */
  runsOf(request: string): readonly RunRecord[] {
    return this.runsByRequest.get(request) ?? [];
  }

  /** Handles an attempt that a replica has started to run. */
  handleRun(run: RunRecord): void {
    const runs = this.runsByRequest.get(run.request) ?? [];
    runs.push(run);
    this.runsByRequest.set(run.request, runs);
    if (this.refused.has(run.request)) {
      this.report(
        'not-run-did-not-run',
        `${run.request} was refused as not run, and then ${run.replica} ran it`,
      );
    }
    if (!run.safeToRepeat) {
      this.checkOnce(run);
    }
  }

  /** Handles an answer stating that a request did not run. */
  handleRefusal(request: string): void {
    this.refused.add(request);
    const [run] = this.runsOf(request);
    if (run !== undefined) {
      this.report(
        'not-run-did-not-run',
        `${request} ran at ${run.replica} and was refused as not run`,
      );
    }
  }

  private checkOnce(run: RunRecord): void {
    const key = `${run.partner}/${run.idempotencyKey ?? run.request}`;
    const before = this.runsByKey.get(key);
    if (before === undefined) {
      this.runsByKey.set(key, run);
      return;
    }
    this.report(
      'at-most-once',
      `key ${key} ran at ${before.replica} as ${before.attempt} and at ${run.replica} as ${run.attempt}`,
    );
  }
}
