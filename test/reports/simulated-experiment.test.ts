import { describe, expect, it } from 'vitest';
import { parseScenario } from '../../src/experiment/read-scenario.js';
import { runExperiment } from '../../src/experiment/run-experiment.js';
import { runInSimulation } from '../../src/experiment/run-in-simulation.js';
import type { ScenarioResult } from '../../src/experiment/scenario-result.js';

const SCENARIO = parseScenario(
  'test.yaml',
  `name: test
title: One replica of each service slow for a short while
partners: [tawe]
warmUpMs: 200
durationMs: 800
load: [{ partner: tawe, queriesPerSecond: 60 }]
faults:
  - { atMs: 100, kind: replica-fault, target: { firstOfService: 1 }, change: { slowFactor: 20 } }
`,
).unsafeCoerce();

const run = (): Promise<ScenarioResult[]> =>
  runExperiment({
    scenarios: [SCENARIO],
    variants: ['default', 'random'],
    seeds: [7],
    runner: runInSimulation,
    onResult: () => undefined,
    interrupted: new AbortController().signal,
  });

const figuresOf = (results: readonly ScenarioResult[]): unknown[] =>
  results.map((result) => ({ ...result, tookMs: 0 }));

describe('an experiment in simulation', () => {
  it('has the same figures in a repeated run, and other figures for another variant', async () => {
    const results = await run();
    expect(results.map(({ variant }) => variant)).toEqual(['default', 'random']);
    expect(results.flatMap(({ run: { violations } }) => violations)).toEqual([]);
    expect(results[0]?.run.kinds.reduce((sum, { answered }) => sum + answered, 0)).toBeGreaterThan(
      20,
    );
    expect(figuresOf(await run())).toEqual(figuresOf(results));
    expect(results[0]?.run).not.toEqual(results[1]?.run);
  });
});
