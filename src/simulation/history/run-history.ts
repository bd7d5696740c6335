/** Runs a history and reports the violations of the invariants. */
import { ENSEMBLE } from '../../deployments/ensemble.js';
import { TAWE } from '../../deployments/tawe.js';
import type { Violation } from '../invariants/violation.js';
import type { SimulationOptions } from '../simulation-options.js';
import { SMALL_DEPLOYMENTS } from '../small-deployments.js';
import { TraceHasher } from '../trace.js';
import type { World } from '../world.js';
import type { History } from './action.js';
import { Tier } from './tier.js';

/** Result of running a history. */
export interface HistoryResult {
  readonly violations: readonly Violation[];
  /** Hash of all steps; equal for runs of the same history with the same program. */
  readonly traceHash: string;
  readonly steps: number;
  /** Virtual time at the end of the run, in milliseconds. */
  readonly endedAt: number;
}

/** Returns the tier that a history runs on. */
export const worldOf = ({
  world,
  nodesPerZone,
}: Pick<History, 'world' | 'nodesPerZone'>): World => {
  switch (world) {
    case 'small':
      return { deployments: SMALL_DEPLOYMENTS, nodesPerZone };
    case 'ensemble':
      return { deployments: [ENSEMBLE], nodesPerZone };
    case 'tawe':
      return { deployments: [TAWE], nodesPerZone };
    case 'both':
      return { deployments: [ENSEMBLE, TAWE], nodesPerZone };
  }
};

/** Runs a history; `options.step` replaces the core's step function. */
export const runHistory = (
  history: History,
  options: Pick<SimulationOptions, 'step'> = {},
): HistoryResult => {
  const trace = new TraceHasher();
  const tier = new Tier(worldOf(history), { seed: history.seed, observers: [trace], ...options });
  for (const action of history.actions) {
    tier.apply(action);
  }
  tier.settle();
  return {
    violations: tier.violations,
    traceHash: trace.digest(),
    steps: trace.steps,
    endedAt: tier.simulation.now,
  };
};
