/** Runs a history from its first action to its last, and reports the promises it broke. */
import { ENSEMBLE } from '../../deployments/ensemble.js';
import { TAWE } from '../../deployments/tawe.js';
import type { Violation } from '../invariants/violation.js';
import type { SimulationOptions } from '../simulation-options.js';
import { SMALL_DEPLOYMENTS } from '../small-deployments.js';
import { TraceHasher } from '../trace.js';
import type { World } from '../world.js';
import type { History } from './action.js';
import { Tier } from './tier.js';

/** What came of a history. */
export interface HistoryResult {
  readonly violations: readonly Violation[];
  /** The same for the same history and program. */
  readonly traceHash: string;
  readonly steps: number;
  /** Virtual time at the end, in milliseconds. */
  readonly endedAt: number;
}

/** The tier that a history names. */
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

/** Runs a history; `step` replaces the core's step where given. */
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
