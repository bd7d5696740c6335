import { describe, expect, it } from 'vitest';
import { compareResults } from '../../src/experiment/compare-results.js';
import { EXPERIMENT_FORMAT } from '../../src/experiment/experiment-file.js';
import { parseScenario, readScenarios } from '../../src/experiment/read-scenario.js';
import { listSimulationOnlySteps } from '../../src/experiment/real/real-step-runner.js';
import { listRuns } from '../../src/experiment/run-experiment.js';
import type { ScenarioResult } from '../../src/experiment/scenario-result.js';
import { summarizeKinds } from '../../src/experiment/summary.js';
import { buildExperimentPage, escapeHtml } from '../../src/reports/experiment-page.js';
import { formatComparison, formatResults } from '../../src/reports/experiment-table.js';
import type { KindResult } from '../../src/load/run-result.js';
import type { VariantName } from '../../src/experiment/scenario.js';

const kind = (p99Ms: number): KindResult => ({
  partner: 'tawe',
  route: 'quote',
  kind: 'builder',
  calls: 100,
  answered: 99,
  p50Ms: p99Ms / 2,
  p99Ms,
  p999Ms: p99Ms * 2,
  maxMs: p99Ms * 3,
  coverageMean: 0.99,
  coverageWorst: 0.5,
  wholeShare: 0.98,
  contributed: 396,
  needed: 400,
  sent: 410,
  extraLoad: 0.025,
  hedges: 8,
  retries: 2,
  notRun: 1,
  unknown: 0,
  failed: 0,
  missing: {},
  reasons: { overloaded: 1 },
  distribution: [
    { percentile: 50, latencyMs: p99Ms / 2 },
    { percentile: 99, latencyMs: p99Ms },
  ],
});

const result = (variant: VariantName, seed: number, p99Ms: number): ScenarioResult => ({
  scenario: 'straggler',
  variant,
  seed,
  driver: 'simulation',
  run: { kinds: [kind(p99Ms)], violationCount: 0, violations: [] },
  edits: [{ partner: 'tawe', inForceMs: 30 }, { partner: 'tawe' }],
  drains: [{ replica: 'r1', lastWorkMs: 700 }],
  attemptsRan: 410,
  tookMs: 1,
});

const RESULTS = [1, 2, 3].flatMap((seed) => [
  result('default', seed, 10 * seed),
  result('random', seed, 100 * seed),
]);

describe('scenario files', () => {
  it('are all valid and have unique names', async () => {
    const scenarios = (await readScenarios('scenarios')).unsafeCoerce();
    expect(scenarios.length).toBeGreaterThan(20);
    expect(new Set(scenarios.map(({ name }) => name)).size).toBe(scenarios.length);
    const paused = scenarios.find(({ name }) => name === 'node-paused');
    expect(paused && listSimulationOnlySteps(paused)).toEqual([
      'pause',
      'pause',
      'resume',
      'resume',
    ]);
  });

  it('report every invalid field with its line', () => {
    const text = `name: wrong
title: t
partners: [ensemble]
nodesPerZone: 0
load:
  - { partner: tawe, queriesPerSecond: 1 }
faults:
  - { atMs: 5, kind: zone-heal }
  - { atMs: 1, kind: zone-heal }
extra: 1
`;
    const findings = parseScenario('wrong.yaml', text).swap().unsafeCoerce();
    const places = findings.map(({ place }) => place);
    expect(places).toContain('wrong.yaml:4 nodesPerZone');
    expect(places).toContain('wrong.yaml:8 faults');
    expect(findings.some(({ problem }) => problem.includes('extra'))).toBe(true);
    const other = text.replace('nodesPerZone: 0\n', '').replace('extra: 1\n', '');
    const second = parseScenario('w.yaml', other.replace('atMs: 1,', 'atMs: 9,'));
    expect(second.swap().unsafeCoerce()).toMatchObject([
      { place: 'w.yaml:5 load', problem: 'names a partner that is not deployed' },
    ]);
  });
});

describe('results of experiments', () => {
  it('come from runs ordered by seed, then by variant', async () => {
    const scenarios = (await readScenarios('scenarios')).unsafeCoerce().slice(0, 1);
    const runs = listRuns({ scenarios, variants: ['random', 'default'], seeds: [4, 5] });
    expect(runs.map(({ seed, variant }) => `${seed} ${variant}`)).toEqual([
      '4 random',
      '4 default',
      '5 random',
      '5 default',
    ]);
  });

  it('are summarized as medians and worst values over seeds', () => {
    const [byDefault, random] = summarizeKinds(RESULTS);
    expect(byDefault).toMatchObject({ variant: 'default', seeds: 3, calls: 300, p99Ms: 20 });
    expect(byDefault).toMatchObject({ worstP99Ms: 30, worstMs: 90, notRun: 3 });
    expect(random).toMatchObject({ variant: 'random', p99Ms: 200 });
    const text = formatResults(RESULTS);
    expect(text).toContain('edits in force: median 30 ms, worst 30 ms, 6 of 12 never');
    expect(text).toContain('last request to a draining replica: median 700 ms');
  });

  it('are compared as ratios', () => {
    const faster = [1, 2, 3].map((seed) => result('default', seed, 5 * seed));
    const [comparison, ...rest] = compareResults(RESULTS, faster);
    expect(comparison).toMatchObject({ p99Ratio: 0.5, p50Ratio: 0.5, coverageChange: 0 });
    expect(rest).toEqual([]);
    expect(formatComparison(comparison === undefined ? [] : [comparison])).toContain('x 0.50');
  });

  it('become a page with rendered charts and without scripts', async () => {
    const page = await buildExperimentPage({
      format: EXPERIMENT_FORMAT,
      command: 'experiment run <straggler>',
      startedAt: '2026-12-02T00:00:00.000Z',
      nodeVersion: 'v20',
      results: RESULTS,
    });
    expect(page.match(/<svg/g)).toHaveLength(4);
    expect(page).toContain('experiment run &lt;straggler&gt;');
    expect(page).not.toContain('<script');
    expect(page).not.toContain('NaN');
    expect(escapeHtml('<a href="x">&')).toBe('&lt;a href=&quot;x&quot;&gt;&amp;');
  });
});
