import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import { Scheduler } from '../../src/simulation/scheduler.js';

describe('Scheduler', () => {
  it('runs actions in order of time, and at the same time in the order of scheduling', () => {
    const scheduler = new Scheduler();
    const random = createRandom(1);
    const expected: { at: number; index: number }[] = [];
    const ran: number[] = [];
    for (let index = 0; index < 500; index += 1) {
      const at = random.nextBelow(50);
      expected.push({ at, index });
      scheduler.schedule(at, () => ran.push(index));
    }
    scheduler.runUntil(50);
    expected.sort((a, b) => a.at - b.at || a.index - b.index);
    expect(ran).toEqual(expected.map(({ index }) => index));
  });

  it('does not run cancelled actions or actions after the end time', () => {
    const scheduler = new Scheduler();
    const ran: string[] = [];
    const cancelled = scheduler.schedule(1, () => ran.push('cancelled'));
    scheduler.schedule(2, () => ran.push('kept'));
    scheduler.schedule(3, () => ran.push('later'));
    scheduler.cancel(cancelled);
    scheduler.runUntil(2);
    expect(ran).toEqual(['kept']);
    expect(scheduler.now).toBe(2);
  });

  it('runs actions that other actions schedule before the end time', () => {
    const scheduler = new Scheduler();
    const times: number[] = [];
    const again = (): void => {
      times.push(scheduler.now);
      scheduler.schedule(10, again);
    };
    scheduler.schedule(0, again);
    scheduler.runUntil(30);
    expect(times).toEqual([0, 10, 20, 30]);
  });

  it('runs no action early because of rounding of time differences', () => {
    const scheduler = new Scheduler();
    const random = createRandom(2);
    for (let round = 0; round < 1_000; round += 1) {
      const due = scheduler.now + random.next() * 100;
      let ranAt = 0;
      scheduler.schedule(due - scheduler.now, () => {
        ranAt = scheduler.now;
      });
      scheduler.runUntil(due + 1);
      expect(ranAt).toBeGreaterThanOrEqual(due);
    }
  });

  it('throws when actions schedule each other endlessly without delay', () => {
    const scheduler = new Scheduler();
    const again = (): void => {
      scheduler.schedule(0, again);
    };
    again();
    expect(() => {
      scheduler.runUntil(1);
    }).toThrow('virtual time does not advance');
  });
});
