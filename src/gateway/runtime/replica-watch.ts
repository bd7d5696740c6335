/** When a watched replica is checked: as soon as a connection to it breaks, but not more often than at an interval. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';

/**
 * Least time between two checks after connections broke, in milliseconds. A replica may accept connections and close them at
 * once, so that each check leads to the next one.
 */
const MIN_CHECK_INTERVAL_MS = 100;

/** Called with the result of a check: whether the replica refuses connections. */
export type CheckListener = (isDown: boolean) => void;

/** The watch of one replica. Times are milliseconds on the clock. */
export class ReplicaWatch {
  private untilAt = Number.NEGATIVE_INFINITY;
  private onChecked: CheckListener = () => undefined;
  private checkedAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly check: (onChecked: CheckListener) => void,
  ) {}

  /** Watches the replica until `untilAt` or the end of the current watch, whichever is later. */
  extend(untilAt: number, onChecked: CheckListener): void {
    this.untilAt = Math.max(this.untilAt, untilAt);
    this.onChecked = onChecked;
  }

  /** Checks the replica after a connection broke, at once or when the interval is over. */
  checkAfterBreak(): void {
    if (this.timer !== undefined || this.clock.now() > this.untilAt) {
      return;
    }
    const waitMs = this.checkedAt + MIN_CHECK_INTERVAL_MS - this.clock.now();
    if (waitMs <= 0) {
      this.checkNow();
    } else {
      this.timer = setTimeout(() => this.checkNow(), waitMs);
    }
  }

  /** Ends the watch. */
  end(): void {
    clearTimeout(this.timer);
    this.untilAt = Number.NEGATIVE_INFINITY;
  }

  private checkNow(): void {
    this.timer = undefined;
    this.checkedAt = this.clock.now();
    this.check(this.onChecked);
  }
}
