/**
 * The budget of extra arrivals at one service: over a sliding window, at most a ratio of the
 * requests for it plus a fixed slack. Each gateway keeps to its own part of the budget, so that the
 * sum over all of them holds without asking anyone.
 */

/** Slots into which a window is divided. */
const WINDOW_SLOTS = 50;

/** Part of the ratio that is used; the rest covers requests that end in another window. */
const RATIO_SAFETY = 0.9;

/** Counts over the last window, by slots of time. */
class SlidingCount {
  private readonly counts = new Float64Array(WINDOW_SLOTS + 1);
  private newestSlot = 0;
  total = 0;

  constructor(private readonly slotMs: number) {}

  advance(at: number): void {
    const slot = Math.floor(at / this.slotMs);
    const steps = Math.min(slot - this.newestSlot, this.counts.length);
    for (let step = 1; step <= steps; step += 1) {
      const index = (this.newestSlot + step) % this.counts.length;
      this.total -= this.counts[index] ?? 0;
      this.counts[index] = 0;
    }
    if (slot > this.newestSlot) {
      this.newestSlot = slot;
      if (steps === this.counts.length) {
        this.total = 0;
        this.counts.fill(0);
      }
    }
  }

  add(at: number): void {
    this.advance(at);
    const index = this.newestSlot % this.counts.length;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
  }
}

/** What the budget of one gateway for one service allows. */
export interface RetryBudgetPolicy {
  readonly ratio: number;
  readonly windowMs: number;
  /** This gateway's part of the slack. */
  readonly slack: number;
}

/** Requests and extra arrivals of one service, as this gateway caused them. */
export class RetryBudget {
  private readonly requests: SlidingCount;
  private readonly extras: SlidingCount;

  constructor(windowMs: number) {
    const slotMs = windowMs / WINDOW_SLOTS;
    this.requests = new SlidingCount(slotMs);
    this.extras = new SlidingCount(slotMs);
  }

  /** A request for the service has arrived from a caller. */
  countRequest(at: number): void {
    this.requests.add(at);
  }

  /** Extra arrivals that are left now; may be negative. */
  left(policy: RetryBudgetPolicy, at: number): number {
    this.requests.advance(at);
    this.extras.advance(at);
    const allowed = policy.ratio * RATIO_SAFETY * this.requests.total + policy.slack;
    return Math.floor(allowed - this.extras.total);
  }

  /** Takes one extra arrival out of the budget; false when there is none left. */
  consume(policy: RetryBudgetPolicy, at: number): boolean {
    if (this.left(policy, at) < 1) {
      return false;
    }
    this.extras.add(at);
    return true;
  }
}
