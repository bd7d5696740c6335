import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { DeadlineQueue } from '../../src/runtime/deadline-queue.js';

const MANY = 3_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const createFixture = () => {
  const due: string[] = [];
  const startedAt = Date.now();
  const queue = new DeadlineQueue<string>({ now: () => Date.now() - startedAt }, (subject) => {
    due.push(subject);
  });
  return { queue, due };
};

describe('deadlines', () => {
  it('become due once each, in order of time', () => {
    const { queue, due } = createFixture();
    queue.set('late', 30);
    queue.set('early', 10);
    vi.advanceTimersByTime(20);
    expect(due).toEqual(['early']);
    vi.advanceTimersByTime(100);
    expect(due).toEqual(['early', 'late']);
  });

  it('do not become due after their cancellation, even if most are cancelled', () => {
    const { queue, due } = createFixture();
    const cancelled = Array.from({ length: MANY }, (_, index) => queue.set(`c-${index}`, index));
    queue.set('kept', MANY);
    cancelled.forEach((deadline) => queue.cancel(deadline));
    cancelled.forEach((deadline) => queue.cancel(deadline));
    vi.advanceTimersByTime(2 * MANY);
    expect(due).toEqual(['kept']);
  });

  it('may be cancelled by the callback of another deadline', () => {
    const due: string[] = [];
    const queue = new DeadlineQueue<string>({ now: () => 10 }, (subject) => {
      due.push(subject);
      queue.cancel(second);
    });
    queue.set('first', 5);
    const second = queue.set('second', 6);
    vi.runAllTimers();
    expect(due).toEqual(['first']);
  });

  it('do not become due after the queue is cleared', () => {
    const { queue, due } = createFixture();
    queue.set('one', 10);
    queue.clear();
    vi.advanceTimersByTime(100);
    expect(due).toEqual([]);
  });
});
