/**
 * Retry budget of one service. Over a sliding window, extra arrivals at the service are at most a ratio of its requests
 * plus a fixed slack. Each gateway keeps to its own share, so that the sum over all gateways holds without coordination.
 */

/** Number of time slots in a window. */
const WINDOW_SLOTS = 50;

/** Number of events in the last window, counted by time slot. */
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

/** Limits of one gateway's retry budget for one service. */
export interface RetryBudgetPolicy {
  /** Extra arrivals that each request counted by this gateway allows it. */
  readonly ratio: number;
  readonly windowMs: number;
  /** This gateway's share of the slack, in arrivals. */
  readonly slack: number;
}

/** Counts the requests and extra arrivals of one service that this gateway accounts for. */
export class RetryBudget {
  private readonly requests: SlidingCount;
  private readonly extras: SlidingCount;

  constructor(windowMs: number) {
    const slotMs = windowMs / WINDOW_SLOTS;
    this.requests = new SlidingCount(slotMs);
    this.extras = new SlidingCount(slotMs);
  }

  /** Requests in the window, as of the last change. */
  get requestCount(): number {
    return this.requests.total;
  }

  /** Extra arrivals in the window, as of the last change. */
  get extraCount(): number {
    return this.extras.total;
  }

  /** Counts a request for the service; extra arrivals are not requests. */
  countRequest(at: number): void {
    this.requests.add(at);
  }

  /** Number of extra arrivals that are still allowed; may be negative. */
  left(policy: RetryBudgetPolicy, at: number): number {
    this.requests.advance(at);
    this.extras.advance(at);
    const allowed = policy.ratio * this.requests.total + policy.slack;
    return Math.floor(allowed - this.extras.total);
  }

  /** Consumes one extra arrival; false when the budget is exhausted. */
  consume(policy: RetryBudgetPolicy, at: number): boolean {
    if (this.left(policy, at) < 1) {
      return false;
    }
    this.extras.add(at);
    return true;
  }
}
