import { beforeEach, describe, expect, it } from 'vitest';
import { ElapsedClock, type ProcessPause } from '../../src/gateway/runtime/elapsed-clock.js';

/** What the machine's clocks say, in milliseconds; each has a start of its own. */
const machine = { steady: 0, timeOfDay: 0, sinceBoot: 0 };
let clock: ElapsedClock;
let pauses: ProcessPause[];

/** All clocks go on together. */
const pass = (ms: number): void => {
  machine.steady += ms;
  machine.timeOfDay += ms;
  machine.sinceBoot += ms;
};

/** The machine is suspended: the steady clock does not count it. */
const suspend = (ms: number): void => {
  machine.timeOfDay += ms;
  machine.sinceBoot += ms;
};

/** The process looks at the clock often, as one that runs does. */
const run = (ms: number): void => {
  for (let left = ms; left > 0; left -= 100) {
    pass(Math.min(100, left));
    clock.now();
  }
};

/** How far the clock goes on by what happens. */
const elapsed = (happen: () => void): number => {
  const before = clock.now();
  happen();
  return clock.now() - before;
};

beforeEach(() => {
  Object.assign(machine, { steady: 5_000, timeOfDay: 1_700_000_000_000, sinceBoot: 90_000 });
  pauses = [];
  clock = new ElapsedClock({
    readings: {
      steady: () => machine.steady,
      timeOfDay: () => machine.timeOfDay,
      sinceBoot: () => machine.sinceBoot,
    },
    onPause: (pause) => pauses.push(pause),
  });
  clock.now();
});

describe('the clock of a gateway', () => {
  it('counts the time for which the machine was suspended', () => {
    expect(elapsed(() => suspend(4_000))).toBe(4_000);
    expect(elapsed(() => run(300))).toBe(300);
    expect(elapsed(() => suspend(700))).toBe(700);
  });

  it.each([2_000, -2_000, 3_600_000])('does not count a step of the time of day: %i ms', (step) => {
    const happen = (): void => {
      machine.timeOfDay += step;
      run(500);
    };
    expect(elapsed(happen)).toBe(500);
    expect(elapsed(() => suspend(4_000))).toBe(4_000);
  });

  it('does not believe a time since the start of the machine that no other clock agrees with', () => {
    const happen = (): void => {
      machine.sinceBoot += 60_000;
      machine.timeOfDay += 2_000;
      run(500);
    };
    expect(elapsed(happen)).toBe(500);
  });

  it('takes times that are told in steps of 10 ms', () => {
    machine.sinceBoot += 9;
    expect(elapsed(() => suspend(4_000))).toBe(4_000);
  });

  it('never goes back', () => {
    const before = clock.now();
    machine.steady -= 1_000;
    expect(clock.now()).toBe(before);
  });
});

describe('a process that stood still', () => {
  it('is noticed where it was suspended', () => {
    run(1_000);
    suspend(4_000);
    clock.now();
    expect(pauses).toEqual([{ forMs: 4_000, suspendedMs: 4_000 }]);
  });

  it('is noticed where it was stopped', () => {
    run(1_000);
    pass(4_000);
    clock.now();
    expect(pauses).toEqual([{ forMs: 4_000, suspendedMs: 0 }]);
  });

  it('is not where it was only busy, nor where the time of day was set', () => {
    run(1_000);
    pass(900);
    clock.now();
    machine.timeOfDay += 5_000;
    run(1_000);
    expect(pauses).toEqual([]);
  });
});
