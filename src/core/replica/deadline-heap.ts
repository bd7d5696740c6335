/** A heap of attempts, earliest deadline first, in which removed attempts are skipped lazily. */
import { BinaryHeap } from '../binary-heap.js';
import type { HeldAttempt } from './state.js';

const isDueBefore = (left: HeldAttempt, right: HeldAttempt): boolean =>
  left.deadlineAt < right.deadlineAt;

/** Queued attempts in the order of their deadlines. */
export class DeadlineHeap {
  private readonly heap = new BinaryHeap<HeldAttempt>(isDueBefore);
  private live = 0;

  /** Number of queued attempts. */
  get size(): number {
    return this.live;
  }

  /** Adds an attempt. */
  add(held: HeldAttempt): void {
    this.live += 1;
    this.heap.push(held);
  }

  /** Removes and returns the queued attempt with the earliest deadline. */
  take(): HeldAttempt | undefined {
    for (;;) {
      const held = this.heap.pop();
      if (held === undefined || held.isQueued) {
        this.live -= held === undefined ? 0 : 1;
        return held;
      }
    }
  }

  /** Counts an attempt as removed; the caller has set its `isQueued` to false. */
  remove(): void {
    this.live -= 1;
    if (this.live === 0) {
      this.heap.clear();
    }
  }
}
