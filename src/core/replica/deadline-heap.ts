/** Attempts by their deadlines, earliest first; those removed meanwhile are skipped. */
import { BinaryHeap } from '../binary-heap.js';
import type { HeldAttempt } from './state.js';

const isDueBefore = (left: HeldAttempt, right: HeldAttempt): boolean =>
  left.deadlineAt < right.deadlineAt;

/** Attempts in the order of their deadlines. */
export class DeadlineHeap {
  private readonly heap = new BinaryHeap<HeldAttempt>(isDueBefore);
  private live = 0;

  /** Attempts that wait. */
  get size(): number {
    return this.live;
  }

  /** Adds an attempt. */
  add(held: HeldAttempt): void {
    this.live += 1;
    this.heap.push(held);
  }

  /** Takes the attempt with the earliest deadline. */
  take(): HeldAttempt | undefined {
    for (;;) {
      const held = this.heap.pop();
      if (held === undefined || held.isQueued) {
        this.live -= held === undefined ? 0 : 1;
        return held;
      }
    }
  }

  /** Notes that an attempt no longer waits; its `waiting` is false from now on. */
  remove(): void {
    this.live -= 1;
    if (this.live === 0) {
      this.heap.clear();
    }
  }
}
