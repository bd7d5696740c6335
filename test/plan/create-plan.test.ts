import fc from 'fast-check';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { connectionsOfFeeder, slotsOfFeeder } from '../../src/core/replica/feeder-share.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { createPlan } from '../../src/plan/create-plan.js';
import { DEFAULT_PROCESSOR_COSTS, type PlanInput } from '../../src/plan/plan-input.js';
import { planInputOfDeployments } from '../../src/plan/deployment-plan-input.js';

const SMALL: PlanInput = {
  nodes: 4,
  zones: 2,
  queriesPerSecond: 100,
  extraLoad: 0,
  feedersPerReplica: 1,
  groups: [{ name: 'desk', replicas: 10, slots: 5, connections: 70, legMs: 10 }],
  routes: [{ name: 'page', share: 1, legs: [{ group: 'desk', legs: 8 }] }],
  costs: DEFAULT_PROCESSOR_COSTS,
};

const places = (input: PlanInput): string[] =>
  createPlan(input).findings.map(({ severity, place }) => `${severity} ${place}`);

describe('createPlan', () => {
  it('calculates slots, connections, legs and messages', () => {
    const plan = createPlan(SMALL);
    expect(plan.groups).toEqual([
      {
        name: 'desk',
        replicas: 10,
        slots: 50,
        slotsOfFeeder: 5,
        connectionsOfFeeder: 63,
        legsPerSecond: 800,
        capacity: 5_000,
        utilization: 0.16,
      },
    ]);
    expect(plan.routes).toEqual([{ name: 'page', queriesPerSecond: 100, legs: 8, concurrent: 1 }]);
    expect(plan.node).toMatchObject({ queriesPerSecond: 25, replicasFed: 2.5, legsFed: 200 });
    // 8 legs reach 4 x (1 - 0.75^8) = 3.6 of 4 nodes, including the node itself.
    expect(plan.node.peersOfQuery).toBeCloseTo(2.7, 2);
    expect(plan.findings).toEqual([]);
  });

  it('includes extra load', () => {
    const plan = createPlan({ ...SMALL, extraLoad: 0.05 });
    expect(plan.groups[0]?.legsPerSecond).toBeCloseTo(840);
  });

  it.each<[string, Partial<PlanInput>, string[]]>([
    ['more legs than the slots can process', { queriesPerSecond: 700 }, ['error group desk']],
    ['high utilization of the slots', { queriesPerSecond: 500 }, ['warning group desk']],
    ['fewer nodes in a zone than feeders', { nodes: 2, feedersPerReplica: 5 }, ['error zones']],
    ['zones without a node', { nodes: 1 }, ['warning zones']],
    [
      'feeders that use more slots than a replica has',
      { nodes: 40, feedersPerReplica: 10 },
      ['error group desk'],
    ],
    ['slots that no feeder uses', { feedersPerReplica: 2 }, ['warning group desk']],
    [
      'work that needs more than one core',
      { costs: { ...DEFAULT_PROCESSOR_COSTS, legOverHttp: 5_000 } },
      ['error node'],
    ],
    [
      'limits',
      {
        routes: SMALL.routes.map((route) => ({
          ...route,
          concurrentLimit: 0.5,
          perSecondLimit: 99,
        })),
      },
      ['error route page', 'error route page', 'warning route page'],
    ],
  ])('reports %s', (_, change, expected) => {
    expect(places({ ...SMALL, ...change })).toEqual(expected);
  });

  it('finds no problem with the sizes of both deployments', () => {
    const backends = planInputOfDeployments(findDeployments('both'));
    const plan = createPlan({ ...SMALL, ...backends, nodes: 7 });
    const shares = backends.routes.reduce((sum, { share }) => sum + share, 0);
    expect(shares).toBeCloseTo(1);
    expect(backends.zones).toBe(7);
    expect(plan.groups.reduce((sum, { replicas }) => sum + replicas, 0)).toBe(108);
    expect(plan.findings).toEqual([]);
  });
});

describe('the share of a feeder', () => {
  it('sums to at most the total of the replica if there are no more feeders than units', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 200 }),
        fc.integer({ min: 1, max: 200 }),
        (total, k) => {
          fc.pre(k <= total);
          expect(slotsOfFeeder(total, k) * k).toBeLessThanOrEqual(total);
          expect(connectionsOfFeeder(total, k) * k).toBeLessThanOrEqual(total);
        },
      ),
      { seed: 6, numRuns: 500 },
    );
  });
});

describe('crossroad plan', () => {
  let out = '';

  const run = (...args: string[]): Promise<number> => {
    out = '';
    vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
      out += String(text);
      return true;
    });
    vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
      out += String(text);
      return true;
    });
    return runCommandLine(['plan', ...args]);
  };

  afterEach(() => {
    vi.restoreAllMocks();
  });

  it('prints the plan of a deployment', async () => {
    expect(await run('--deployment', 'tawe')).toBe(0);
    expect(out).toContain('tawe/quote-builder');
    expect(await run('--deployment', 'tawe', '--json')).toBe(0);
    expect(JSON.parse(out)).toMatchObject({ findings: [] });
  });

  it('prints what does not fit and exits 1', async () => {
    const sizes = ['--replicas', '100', '--legs', '50', '--queries-per-second', '1e5'];
    expect(await run(...sizes)).toBe(1);
    expect(out).toContain('error: group replicas: needs 5150% of the capacity');
    expect(out).toContain('processes in place of each node');
  });

  it.each([
    [[]],
    [['--deployment', 'both', '--replicas', '3']],
    [['--replicas', '0']],
    [['--deployment', 'elsewhere']],
    [['--replicas', '3', '--extra-load', '2']],
  ])('exits 2 on wrong usage: %j', async (args) => {
    expect(await run(...args)).toBe(2);
  });
});
