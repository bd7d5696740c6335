/** A priority queue of timed items; items with the same time keep their insertion order. */

interface Entry<Item> {
  readonly at: number;
  readonly order: number;
  readonly item: Item;
}

const isBefore = <Item>(a: Entry<Item>, b: Entry<Item>): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Queues items by time in a binary heap. */
export class EventQueue<Item> {
  private readonly heap: Entry<Item>[] = [];
  private order = 0;

  /** Time of the next item; infinity when the queue is empty. */
  get nextAt(): number {
    return this.heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Adds an item with the time `at`. */
  add(at: number, item: Item): void {
    const entry = { at, order: this.order, item };
    this.order += 1;
    let place = this.heap.length;
    this.heap.push(entry);
    while (place > 0) {
      const parent = (place - 1) >> 1;
      const above = this.heap[parent] as Entry<Item>;
      if (isBefore(above, entry)) {
        break;
      }
      this.heap[place] = above;
      place = parent;
    }
    this.heap[place] = entry;
  }

  /** Removes and returns the next item; undefined when the queue is empty. */
  pop(): Item | undefined {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (first !== undefined && last !== undefined && this.heap.length > 0) {
      this.sink(last);
    }
    return first?.item;
  }

  private sink(entry: Entry<Item>): void {
    const { heap } = this;
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) {
        break;
      }
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right] as Entry<Item>, heap[child] as Entry<Item>)) {
        child = right;
      }
      if (isBefore(entry, heap[child] as Entry<Item>)) {
        break;
      }
      heap[place] = heap[child] as Entry<Item>;
      place = child;
    }
    heap[place] = entry;
  }
}
