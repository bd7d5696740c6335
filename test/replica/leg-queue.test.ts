import { describe, expect, it } from 'vitest';
import { createFairQueue } from '../../src/core/replica/leg-queue.js';
import type { HeldAttempt } from '../../src/core/replica/state.js';

const createHeldAttempt = (
  name: string,
  partner: string,
  share: number,
  row = 'r',
  weight = 1,
  deadlineAt = 0,
) =>
  ({
    leg: { attempt: name },
    class: { partner, share, row: `${partner}/${row}`, weight },
    deadlineAt,
    isQueued: false,
  }) as unknown as HeldAttempt;

const takeNames = (queue: ReturnType<typeof createFairQueue>, count: number): string[] =>
  Array.from({ length: count }, () => queue.take()?.leg.attempt ?? 'none');

const countOf = (names: string[], prefix: string): number =>
  names.filter((name) => name.startsWith(prefix)).length;

describe('the fair queue of a feeder', () => {
  it('serves partners by their shares, regardless of how many legs are queued', () => {
    const queue = createFairQueue();
    for (let number = 0; number < 400; number += 1) {
      queue.add(createHeldAttempt(`a${number}`, 'a', 0.25));
    }
    for (let number = 0; number < 100; number += 1) {
      queue.add(createHeldAttempt(`b${number}`, 'b', 0.75));
    }
    const first = takeNames(queue, 80);
    expect(countOf(first, 'b')).toBeGreaterThanOrEqual(58);
    expect(countOf(first, 'b')).toBeLessThanOrEqual(62 + 16);
    expect(countOf(takeNames(queue, 420), 'a')).toBe(400 - countOf(first, 'a'));
    expect(queue.size).toBe(0);
  });

  it('serves the rows of a partner by their weights, and the legs of a row by deadline', () => {
    const queue = createFairQueue();
    for (let number = 0; number < 90; number += 1) {
      queue.add(createHeldAttempt(`h${number}`, 'a', 1, 'heavy', 3, 1_000 - number));
      queue.add(createHeldAttempt(`l${number}`, 'a', 1, 'light', 1));
    }
    const taken = takeNames(queue, 80);
    expect(countOf(taken, 'h')).toBeGreaterThanOrEqual(59);
    expect(countOf(taken, 'h')).toBeLessThanOrEqual(61);
    expect(taken.filter((name) => name.startsWith('h')).slice(0, 3)).toEqual(['h89', 'h88', 'h87']);
  });

  it('lets others use an idle share and returns it with the next leg of its partner', () => {
    const queue = createFairQueue();
    for (let number = 0; number < 200; number += 1) {
      queue.add(createHeldAttempt(`a${number}`, 'a', 0.5));
    }
    expect(countOf(takeNames(queue, 100), 'a')).toBe(100);
    queue.add(createHeldAttempt('b0', 'b', 0.5));
    queue.add(createHeldAttempt('b1', 'b', 0.5));
    expect(takeNames(queue, 2)).toEqual(['b0', 'b1']);
    expect(countOf(takeNames(queue, 50), 'a')).toBe(50);
  });

  it('limits a partner with a steady load to its share plus one credit', () => {
    const queue = createFairQueue();
    for (let number = 0; number < 1_000; number += 1) {
      queue.add(createHeldAttempt(`a${number}`, 'a', 0.5));
    }
    takeNames(queue, 10);
    const taken: string[] = [];
    for (let number = 0; number < 400; number += 1) {
      queue.add(createHeldAttempt(`b${number}`, 'b', 0.5));
      taken.push(...takeNames(queue, 1));
    }
    expect(countOf(taken, 'b')).toBeLessThanOrEqual(200 + 16);
  });

  it('skips removed legs and counts the others', () => {
    const queue = createFairQueue();
    const legs = Array.from({ length: 5 }, (_, number) =>
      createHeldAttempt(`a${number}`, 'a', 1, 'r', 1, number),
    );
    legs.forEach((leg) => queue.add(leg));
    queue.remove(legs[0] as HeldAttempt);
    queue.remove(legs[0] as HeldAttempt);
    queue.remove(legs[3] as HeldAttempt);
    expect(queue.size).toBe(3);
    expect(takeNames(queue, 4)).toEqual(['a1', 'a2', 'a4', 'none']);
    expect(queue.sizeOf('a' as never)).toBe(0);
  });
});
