/** Load reports of a replica, which are delayed and may be wrong. */
import type { ReplicaLoad } from '../../protocol/leg-messages.js';
import type { LoadReportMode } from './replica-faults.js';

/** Minimum age of a reported load, in milliseconds. */
export const LOAD_REPORT_LAG_MS = 250;

interface LoadSample {
  readonly at: number;
  readonly load: ReplicaLoad;
}

const NO_LOAD: ReplicaLoad = { inFlight: 0, queued: 0 };

/** Samples the load and reports an older sample. */
export class LoadReporter {
  private reported: LoadSample = { at: Number.NEGATIVE_INFINITY, load: NO_LOAD };
  private next: LoadSample = { at: Number.NEGATIVE_INFINITY, load: NO_LOAD };

  constructor(private readonly slots: number) {}

  /** Records the load at `at`, unless the last sample is younger than `LOAD_REPORT_LAG_MS`. */
  recordLoad(at: number, load: ReplicaLoad): void {
    if (at - this.next.at < LOAD_REPORT_LAG_MS) {
      return;
    }
    this.reported = this.next;
    this.next = { at, load };
  }

  /** Returns the load that the replica reports. */
  report(mode: LoadReportMode): ReplicaLoad {
    const { load } = this.reported;
    switch (mode) {
      case 'true':
        return load;
      case 'frozen':
        return NO_LOAD;
      case 'inverted':
        return {
          inFlight: Math.max(0, this.slots - load.inFlight),
          queued: Math.max(0, this.slots - load.queued),
        };
    }
  }
}
