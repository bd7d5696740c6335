/** A heap of queued items, earliest deadline first, in which removed items are skipped lazily. */
import { BinaryHeap } from './binary-heap.js';

/** An item of a heap. */
export interface QueuedItem {
  readonly deadlineAt: number;
  /** Whether it is queued; set to false when it is removed. */
  isQueued: boolean;
}

const isDueBefore = (left: QueuedItem, right: QueuedItem): boolean =>
  left.deadlineAt < right.deadlineAt;

/** Queued items in the order of their deadlines. */
export class DeadlineHeap<Item extends QueuedItem> {
  private readonly heap = new BinaryHeap<Item>(isDueBefore);
  private live = 0;

  /** Number of queued items. */
  get size(): number {
    return this.live;
  }

  /** The queued item with the earliest deadline; undefined when there is none. */
  get first(): Item | undefined {
    while (this.heap.first?.isQueued === false) {
      this.heap.pop();
    }
    return this.heap.first;
  }

  /** Adds an item. */
  add(item: Item): void {
    this.live += 1;
    this.heap.push(item);
  }

  /** Removes and returns the queued item with the earliest deadline. */
  take(): Item | undefined {
    const { first } = this;
    if (first !== undefined) {
      this.heap.pop();
      this.live -= 1;
    }
    return first;
  }

  /** Counts an item as removed; the caller has set its `isQueued` to false. */
  remove(): void {
    this.live -= 1;
    if (this.live === 0) {
      this.heap.clear();
    }
  }
}
