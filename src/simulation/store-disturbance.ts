/**
 * Determines when the store counts as disturbed; invariants with a time bound are suspended then.
 * After an outage or slowness, the disturbance lasts until the slow answers have arrived and as
 * many watches are active as before.
 */
import type { DisturbanceTracker } from './disturbance-tracker.js';
import type { Scheduler } from './scheduler.js';

/** Delay of the store's answers above which it counts as disturbed, in milliseconds. */
const SLOW_STORE_MS = 200;

/** Current condition of the store. */
export interface StoreCondition {
  readonly down: boolean;
  /** Delay of its answers, in milliseconds. */
  readonly delayMs: number;
  /** Number of active watches. */
  readonly watchers: number;
}

/** Begins and ends the disturbance of a store. */
export class StoreDisturbance {
  private expectedWatchers = 0;
  private lastSlowAnswerAt = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly disturbances: DisturbanceTracker,
    private readonly read: () => StoreCondition,
  ) {}

  /** Handles a change of the store's faults; `rolledBack` is true if it lost writes. */
  handleFaultChange(rolledBack: boolean): void {
    if (this.isImpaired) {
      this.disturbances.begin('store');
      this.expectedWatchers = Math.max(this.expectedWatchers, this.read().watchers);
    } else {
      this.endIfOver();
    }
    if (rolledBack) {
      this.disturbances.begin('store rolled back');
    }
  }

  /** Records an answer that arrives at the virtual time `at`, in milliseconds. */
  recordAnswer(at: number): void {
    if (this.read().delayMs > SLOW_STORE_MS) {
      this.lastSlowAnswerAt = at;
    }
  }

  /** Ends the disturbance if it is over, or checks again when the last slow answer has arrived. */
  endIfOver(): void {
    const { now } = this.scheduler;
    if (now < this.lastSlowAnswerAt) {
      this.scheduler.schedule(this.lastSlowAnswerAt - now, () => {
        this.endIfOver();
      });
    } else if (!this.isImpaired && this.read().watchers >= this.expectedWatchers) {
      this.expectedWatchers = 0;
      this.disturbances.end('store');
    }
  }

  private get isImpaired(): boolean {
    const { down, delayMs } = this.read();
    return down || delayMs > SLOW_STORE_MS;
  }
}
