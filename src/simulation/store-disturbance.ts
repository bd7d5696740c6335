/**
 * Tells from when to when the store is disturbed: invariants with a time bound rest meanwhile. A store
 * that was down or slow counts as disturbed until its slow answers and the watches it had are there.
 */
import type { Quiet } from './quiet.js';
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
  private watchersWanted = 0;
  private lastSlowAnswerAt = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly quiet: Quiet,
    private readonly read: () => StoreCondition,
  ) {}

  /** The faults of the store have changed. */
  noteFaults(rolledBack: boolean): void {
    if (this.isAbsent) {
      this.quiet.begin('store');
      this.watchersWanted = Math.max(this.watchersWanted, this.read().watchers);
    } else {
      this.endIfOver();
    }
    if (rolledBack) {
      this.quiet.begin('store rolled back');
    }
  }

  /** An answer leaves the store and arrives at `at`, in milliseconds of virtual time. */
  noteAnswer(at: number): void {
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
    } else if (!this.isAbsent && this.read().watchers >= this.watchersWanted) {
      this.watchersWanted = 0;
      this.quiet.end('store');
    }
  }

  private get isAbsent(): boolean {
    const { down, delayMs } = this.read();
    return down || delayMs > SLOW_STORE_MS;
  }
}
