/** A binary heap. The order of items that compare as equal is not specified. */

/**
 * A priority queue: reads its first item in constant time, adds and removes in logarithmic time.
 */
export class BinaryHeap<Item extends object> {
  private readonly items: Item[] = [];

  /** @param isBefore - whether `left` leaves the heap before `right`; a strict order */
  constructor(private readonly isBefore: (left: Item, right: Item) => boolean) {}

  /** Number of items in the heap. */
  get size(): number {
    return this.items.length;
  }

  /** The item that `pop` removes next; undefined when the heap is empty. */
  get first(): Item | undefined {
    return this.items[0];
  }

  /** Adds an item. */
  push(item: Item): void {
    const { items, isBefore } = this;
    let place = items.push(item) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      const above = items[parent];
      if (above === undefined || !isBefore(item, above)) {
        break;
      }
      items[place] = above;
      place = parent;
    }
    items[place] = item;
  }

  /** Removes and returns the first item; undefined when the heap is empty. */
  pop(): Item | undefined {
    const { items } = this;
    const first = items[0];
    const last = items.pop();
    if (last !== undefined && items.length > 0) {
      this.sink(last);
    }
    return first;
  }

  /** Removes all items. */
  clear(): void {
    this.items.length = 0;
  }

  /** Removes the items for which `keep` returns false. */
  retain(keep: (item: Item) => boolean): void {
    const kept = this.items.filter(keep);
    this.clear();
    kept.forEach((item) => {
      this.push(item);
    });
  }

  private sink(moved: Item): void {
    const { items, isBefore } = this;
    let place = 0;
    for (;;) {
      const child = this.earlierChild(place);
      const below = items[child];
      if (below === undefined || !isBefore(below, moved)) {
        break;
      }
      items[place] = below;
      place = child;
    }
    items[place] = moved;
  }

  private earlierChild(place: number): number {
    const left = 2 * place + 1;
    const leftItem = this.items[left];
    const rightItem = this.items[left + 1];
    const takesRight =
      leftItem !== undefined && rightItem !== undefined && this.isBefore(rightItem, leftItem);
    return takesRight ? left + 1 : left;
  }
}
