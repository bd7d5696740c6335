import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import { ShareHistory } from '../../src/gateway/budget/share-history.js';
import { Draw } from './draw.js';

const WINDOW_MS = 10_000;
const STEP_MS = 250;
const STEPS = 240;
const GATEWAYS = 6;

/** Tolerance for rounding, and for windows that end between two steps. */
const TOLERANCE = 0.02;

/** Shares that add up to 1, drawn from few values, so that some gateways hold much and most hold little. */
const drawShares = (draw: Draw): readonly number[] => {
  const weights = Array.from({ length: GATEWAYS }, () => draw.of([0, 0.1, 1, 8]));
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return sum === 0 ? weights : weights.map((weight) => weight / sum);
};

/** The usable shares of every process at every step, while shares move and processes are killed. */
const drawUsableShares = (draw: Draw): readonly (readonly number[])[] => {
  const processes: number[][] = [];
  const changeChance = draw.of([0.01, 0.05, 0.3]);
  const killChance = draw.of([0, 0.01, 0.05]);
  let shares = drawShares(draw);
  const running = shares.map((share) => ({
    history: new ShareHistory(WINDOW_MS, share, Number.NEGATIVE_INFINITY),
    process: processes.push([]) - 1,
  }));
  for (let step = 0; step < STEPS; step += 1) {
    const at = step * STEP_MS;
    shares = draw.isTrue(changeChance) ? drawShares(draw) : shares;
    shares.forEach((share, index) => {
      const isKilled = draw.isTrue(killChance);
      const known = running[index];
      if (isKilled || known === undefined) {
        const history = new ShareHistory(WINDOW_MS, share, at);
        running[index] = { history, process: processes.push([]) - 1 };
      }
      const { history, process } = running[index] ?? { history: undefined, process: 0 };
      history?.record(share, at);
      const usages = processes[process] ?? [];
      usages[step] = history?.usable(at).ofLimit ?? 0;
    });
  }
  return processes;
};

const WINDOW_STEPS = WINDOW_MS / STEP_MS;

/** The sum, over all processes, of the most that each may have used in the window that ends with a step. */
const usedInWindow = (processes: readonly (readonly number[])[], step: number): number =>
  processes.reduce((sum, usages) => {
    const start = Math.max(0, step - WINDOW_STEPS + 1);
    const inWindow = Array.from({ length: WINDOW_STEPS }, (_, index) => usages[start + index] ?? 0);
    return sum + Math.max(...inWindow);
  }, 0);

describe('usable shares of a limit', () => {
  // A share that moved, or a process that started, was used twice within one window.
  it.each(Array.from({ length: 30 }, (_, seed) => seed))(
    'add up to at most 1 in every window while shares move and processes start (seed %i)',
    (seed) => {
      const processes = drawUsableShares(new Draw(createRandom(seed)));
      const sums = Array.from({ length: STEPS }, (_, step) => usedInWindow(processes, step));
      expect(Math.max(...sums)).toBeLessThanOrEqual(1 + TOLERANCE);
    },
  );

  // A refusal of all repeats after a start would cost callers more than the bound needs.
  it('grow from the start of a process and are whole after a window', () => {
    const history = new ShareHistory(WINDOW_MS, 0.4, 0);
    const usable = [0, 5_000, 9_999, 10_000].map((at) => {
      history.record(0.4, at);
      return history.usable(at);
    });
    expect(usable.map(({ ofLimit }) => Math.round(ofLimit * 1_000))).toEqual([0, 50, 100, 300]);
    expect(usable.map(({ ofOwnRequests }) => ofOwnRequests)).toEqual([0.25, 0.25, 0.25, 0.75]);
  });
});
