/** Runs a scenario in simulation as one run of an experiment. */
import { setImmediate } from 'node:timers/promises';
import type { Violation } from '../load/violation.js';
import { runSimulatedScenario } from '../simulation/scenario/run-scenario.js';
import type { ScenarioRun } from './scenario.js';
import type { ScenarioResult } from './scenario-result.js';
import { MAX_RECORDED_VIOLATIONS } from '../load/run-recorder.js';

/**
 * Runs one scenario under one variant and seed. Broken invariants of the simulation are added to the
 * violations that callers observe.
 */
export const runInSimulation = async (run: ScenarioRun): Promise<ScenarioResult> => {
  // A simulated run blocks the event loop, so signals are handled between runs.
  await setImmediate();
  const { broken, ...result } = runSimulatedScenario(run);
  const found = broken.map(({ invariant, at, detail }): Violation => ({
    promise: invariant,
    subject: `at ${at.toFixed(0)} ms`,
    seen: detail,
  }));
  const { run: figures } = result;
  return {
    ...result,
    run: {
      ...figures,
      violationCount: figures.violationCount + found.length,
      violations: [...figures.violations, ...found].slice(0, MAX_RECORDED_VIOLATIONS),
    },
  };
};
