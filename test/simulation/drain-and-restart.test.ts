import { describe, expect, it } from 'vitest';
import { buildFaultScenario, type FaultName } from '../../src/simulation/scenario/faults.js';
import { runSimulatedScenario } from '../../src/simulation/scenario/run-scenario.js';

const SEED = 1;

describe('replicas that leave while nodes restart or other replicas are frozen', () => {
  it.each<FaultName[]>([
    ['node-killed', 'drain'],
    ['node-stopped', 'drain'],
    ['replica-frozen', 'drain'],
  ])('receive no new work (%s, %s)', (...faults) => {
    const scenario = buildFaultScenario(faults);
    const result = runSimulatedScenario({ scenario, variant: 'default', seed: SEED });
    expect(result.run.kinds.reduce((sum, { calls }) => sum + calls, 0)).toBeGreaterThan(0);
    expect(result.broken).toEqual([]);
  });
});
