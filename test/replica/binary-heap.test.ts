import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BinaryHeap } from '../../src/core/binary-heap.js';

interface Timed {
  readonly at: number;
}

const createHeap = (times: readonly number[]): BinaryHeap<Timed> => {
  const heap = new BinaryHeap<Timed>((left, right) => left.at < right.at);
  times.forEach((at) => heap.push({ at }));
  return heap;
};

const drain = (heap: BinaryHeap<Timed>): number[] => {
  const times: number[] = [];
  for (let item = heap.pop(); item !== undefined; item = heap.pop()) {
    times.push(item.at);
  }
  return times;
};

const inOrder = (times: readonly number[]): number[] => [...times].sort((a, b) => a - b);

const times = fc.array(fc.nat(50), { maxLength: 200 });

describe('a binary heap', () => {
  it('returns its items in order', () => {
    fc.assert(
      fc.property(times, (all) => {
        expect(drain(createHeap(all))).toEqual(inOrder(all));
      }),
      { seed: 1 },
    );
  });

  it('keeps the order when pushes follow pops', () => {
    fc.assert(
      fc.property(times, times, (before, after) => {
        const heap = createHeap(before);
        const half = Math.floor(before.length / 2);
        const taken = Array.from({ length: half }, () => heap.pop()?.at);
        expect(taken).toEqual(inOrder(before).slice(0, half));
        after.forEach((at) => heap.push({ at }));
        const rest = inOrder([...inOrder(before).slice(half), ...after]);
        expect(heap.first?.at).toBe(rest[0]);
        expect(heap.size).toBe(rest.length);
        expect(drain(heap)).toEqual(rest);
      }),
      { seed: 2 },
    );
  });

  it('keeps the retained items in order', () => {
    fc.assert(
      fc.property(times, (all) => {
        const heap = createHeap(all);
        heap.retain(({ at }) => at % 2 === 0);
        expect(drain(heap)).toEqual(inOrder(all.filter((at) => at % 2 === 0)));
      }),
      { seed: 3 },
    );
  });

  it('is empty after clear', () => {
    const heap = createHeap([3, 1, 2]);
    heap.clear();
    expect(heap.size).toBe(0);
    expect(heap.first).toBeUndefined();
    expect(heap.pop()).toBeUndefined();
  });
});
