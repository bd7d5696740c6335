import { beforeEach, describe, expect, it } from 'vitest';
import { ElapsedClock, type ProcessPause } from '../../src/gateway/runtime/elapsed-clock.js';

/** Readings of the machine's clocks, in milliseconds; each has its own origin. */
const machine = { steady: 0, timeOfDay: 0, sinceBoot: 0 };
let clock: ElapsedClock;
let pauses: ProcessPause[];

/** Advances all clocks. */
const advance = (ms: number): void => {
  machine.steady += ms;
  machine.timeOfDay += ms;
  machine.sinceBoot += ms;
};

/** Suspends the machine: the steady clock does not advance. */
const suspend = (ms: number): void => {
  machine.timeOfDay += ms;
  machine.sinceBoot += ms;
};

/** Advances all clocks and reads the gateway's clock often, as a running process does. */
const run = (ms: number): void => {
  for (let left = ms; left > 0; left -= 100) {
    advance(Math.min(100, left));
    clock.now();
  }
};

/** Returns by how much the gateway's clock advances during an action. */
const elapsed = (action: () => void): number => {
  const before = clock.now();
  action();
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

  it.each([2_000, -2_000, 3_600_000])('ignores a change of the time of day by %i ms', (step) => {
    const changeClocks = (): void => {
      machine.timeOfDay += step;
      run(500);
    };
    expect(elapsed(changeClocks)).toBe(500);
    expect(elapsed(() => suspend(4_000))).toBe(4_000);
  });

  it('ignores a jump of the time since boot that no other clock confirms', () => {
    const changeClocks = (): void => {
      machine.sinceBoot += 60_000;
      machine.timeOfDay += 2_000;
      run(500);
    };
    expect(elapsed(changeClocks)).toBe(500);
  });

  it('accepts a time since boot with a resolution of 10 ms', () => {
    machine.sinceBoot += 9;
    expect(elapsed(() => suspend(4_000))).toBe(4_000);
  });

  it('never goes back', () => {
    const before = clock.now();
    machine.steady -= 1_000;
    expect(clock.now()).toBe(before);
  });
});

describe('a process pause', () => {
  it('is detected if the machine was suspended', () => {
    run(1_000);
    suspend(4_000);
    clock.now();
    expect(pauses).toEqual([{ forMs: 4_000, suspendedMs: 4_000 }]);
  });

  it('is detected if the process was stopped', () => {
    run(1_000);
    advance(4_000);
    clock.now();
    expect(pauses).toEqual([{ forMs: 4_000, suspendedMs: 0 }]);
  });

  it('is not detected if the process was busy or the time of day was changed', () => {
    run(1_000);
    advance(900);
    clock.now();
    machine.timeOfDay += 5_000;
    run(1_000);
    expect(pauses).toEqual([]);
  });
});
