/**
 * Tells from when to when the store is disturbed: invariants with a time bound rest meanwhile. A store
 * that was down or slow counts as disturbed until its slow answers and the watches it had are there.
 */
import type { DisturbanceTracker } from './disturbance-tracker.js';
import type { Scheduler } from './scheduler.js';

/** Answers that are delayed by more disturb the nodes, in milliseconds. */
const SLOW_STORE_MS = 200;

/** What the store is like now. */
export interface StoreCondition {
  readonly down: boolean;
  /** Delay of its answers, in milliseconds. */
  readonly delayMs: number;
  /** Watches that the store serves. */
  readonly watchers: number;
}

/** Begins and ends the disturbance of one store. */
export class StoreDisturbance {
  private expectedWatchers = 0;
  private lastSlowAnswerAt = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly disturbances: DisturbanceTracker,
    private readonly read: () => StoreCondition,
  ) {}

  /** The faults of the store have changed. */
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

  /** An answer leaves the store and arrives at `at`, in milliseconds of virtual time. */
  recordAnswer(at: number): void {
    if (this.read().delayMs > SLOW_STORE_MS) {
      this.lastSlowAnswerAt = at;
    }
  }

  /** Ends the disturbance if nothing of it is left, or looks again after the last slow answer. */
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
