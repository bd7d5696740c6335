import { describe, expect, it } from 'vitest';
import { parseScenario } from '../../src/experiment/read-scenario.js';
import { runRealScenario } from '../../src/experiment/real/run-real-scenario.js';
import { selectByTarget } from '../../src/experiment/select-by-target.js';

const SCENARIO = parseScenario(
  'test.yaml',
  `name: test
title: One step of each kind
partners: [tawe]
warmUpMs: 100
durationMs: 1900
load: [{ partner: tawe, queriesPerSecond: 25 }]
faults:
  - { atMs: 100, kind: edit, partner: tawe, route: quote, requestKind: builder, weight: 9 }
  - { atMs: 200, kind: roll-out, partner: tawe, version: 2, overMs: 600, addedShards: 1 }
  - { atMs: 300, kind: drain, target: { group: tender-archive, firstOfService: 1 } }
  - { atMs: 400, kind: replica-fault, target: { replica: quote-builder-1-r1 }, change: { dead: true } }
  - { atMs: 500, kind: node-fault, target: { zone: neath-hall }, action: kill }
  - { atMs: 900, kind: store-fault, change: { delayMs: 50 } }
  - { atMs: 1000, kind: load-factor, partner: tawe, factor: 2 }
  - { atMs: 1200, kind: node-fault, target: { node: neath-hall-1 }, action: start }
`,
).unsafeCoerce();

describe('an experiment on real sockets', () => {
  it('runs the steps of its scenario without violations', async () => {
    const result = await runRealScenario({ scenario: SCENARIO, variant: 'default', seed: 1 });
    expect(result.run.violations).toEqual([]);
    expect(result.driver).toBe('real');
    expect(result.edits).toHaveLength(1);
    expect(result.edits[0]?.inForceMs).toBeGreaterThan(0);
    expect(result.drains).toHaveLength(12);
    expect(result.attemptsRan).toBeGreaterThan(0);
    expect(result.run.kinds.reduce((sum, { answered }) => sum + answered, 0)).toBeGreaterThan(0);
  });
});

describe('targets', () => {
  const place = (service: string, replica: string, zone: string) => ({
    partner: 'tawe',
    service,
    replica,
    zone,
  });
  const places = [
    place('quote-builder-1', 'a', 'x'),
    place('quote-builder-1', 'b', 'y'),
    place('quote-builder-12', 'c', 'x'),
    place('ledger-desk', 'd', 'y'),
  ];
  const chosen = (target: Parameters<typeof selectByTarget>[2]): string =>
    selectByTarget(places, (item) => item, target)
      .map(({ replica }) => replica)
      .join('');

  it('restrict the selection by each of their fields', () => {
    expect(chosen({})).toBe('abcd');
    expect(chosen({ firstOfService: 1 })).toBe('acd');
    expect(chosen({ group: 'quote-builder' })).toBe('abc');
    expect(chosen({ service: 'quote-builder-1', zone: 'y' })).toBe('b');
    expect(chosen({ zone: 'x', firstOfService: 1 })).toBe('ac');
    expect(chosen({ partner: 'ensemble' })).toBe('');
  });
});
