import { describe, expect, it } from 'vitest';
import { fuzz } from './commands.js';

const SEEDS = [1, 2, 3];
const RUNS_PER_SEED = 40;

describe('stateful fuzzing', () => {
  it.each(SEEDS)('violates no invariant, seed %i', (seed) => {
    expect(fuzz({ seed, runs: RUNS_PER_SEED })).toBeUndefined();
  });
});
