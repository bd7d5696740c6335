/** Checks of what replicas ran: nothing that was refused, and nothing twice that may run once. */
import type { RunRecord } from '../replica-record.js';
import type { ReportViolation } from './violation.js';

/** Compares the replicas' records with what callers were told. */
export class RunChecks {
  private readonly runsByRequest = new Map<string, RunRecord[]>();
  private readonly refused = new Set<string>();
  private readonly runsByKey = new Map<string, RunRecord>();

  constructor(private readonly report: ReportViolation) {}

  /** What ran for a request. */
  runsOf(request: string): readonly RunRecord[] {
    return this.runsByRequest.get(request) ?? [];
  }

  /** A replica has begun to work on an attempt. */
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

  /** A caller was told that its request did not run. */
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
