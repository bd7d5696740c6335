/** Generates histories of bookings, resends and faults and checks that no request runs more than once. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import { step } from '../../src/core/reducer.js';
import type { CoreState } from '../../src/core/state.js';
import type { StepFunction } from '../../src/simulation/node-environment.js';
import { applyFault, faultAction, type FaultAction } from '../support/fault-actions.js';
import {
  bookingOf,
  createDuplicatingStep,
  createOnceWorld,
  createKeyNow,
  listFalseRefusals,
  maxRunsPerKey,
  NODES,
  SETTLED_MS,
  ZONES,
} from './once-world.js';

type Action = FaultAction | { readonly type: 'book'; readonly node: number; readonly key: number };

const booking = fc.record({
  type: fc.constant('book' as const),
  node: fc.nat({ max: 5 }),
  key: fc.nat({ max: 3 }),
});

const history = fc.array(fc.oneof({ weight: 3, arbitrary: booking }, faultAction), {
  minLength: 12,
  maxLength: 45,
});

interface HistoryResult {
  readonly maxRuns: number;
  readonly falseRefusals: readonly string[];
  readonly runs: number;
}

const runHistory = (
  actions: readonly Action[],
  seed: number,
  inner: StepFunction,
): HistoryResult => {
  const simulation = createOnceWorld({ seed, step: createDuplicatingStep(seed, inner) });
  simulation.runFor(SETTLED_MS);
  const keys = new Map<number, string>();
  for (const action of actions) {
    if (action.type === 'book') {
      const key = keys.get(action.key) ?? createKeyNow(simulation, action.key);
      keys.set(action.key, key);
      simulation.call(NODES[action.node] as string, bookingOf(key));
    } else {
      applyFault(simulation, action, NODES, ZONES);
    }
  }
  simulation.network.reachability.healAll();
  NODES.forEach((node) => simulation.node(node).wake());
  simulation.runFor(5_000);
  return {
    maxRuns: maxRunsPerKey(simulation),
    falseRefusals: listFalseRefusals(simulation),
    runs: simulation.listRuns().length,
  };
};

const clearClaims = (state: CoreState): void => {
  state.once.kept.clear();
};

/** Changes that each break one rule of claims in the core. */
const BROKEN_STEPS: Readonly<Record<string, (state: CoreState, event: Event) => void>> = {
  'keepers do not keep claims': clearClaims,
  'restarted keepers grant every key': (state) => {
    state.keepers.startIncarnation = 0;
  },
  'claims are granted by a single keeper': (state) => {
    for (const claim of state.once.ownClaims.values()) {
      (claim.keepers as { majority: number }).majority = 1;
    }
  },
};

const breakStep =
  (change: (state: CoreState, event: Event) => void): StepFunction =>
  (state: CoreState, event: Event): Effect[] => {
    const effects = step(state, event);
    change(state, event);
    return effects;
  };

/** For a longer run: FUZZ_RUNS=2000 FUZZ_SEED=7 npx vitest run test/once/histories.test.ts */
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60);
const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261_202);

describe('random histories of bookings and faults', () => {
  it('run no key twice and report no request as not run that has run', () => {
    let runs = 0;
    fc.assert(
      fc.property(history, fc.nat(), (actions, seed) => {
        const verdict = runHistory(actions, seed, step);
        runs += verdict.runs;
        expect(verdict.maxRuns).toBeLessThanOrEqual(1);
        expect(verdict.falseRefusals).toEqual([]);
      }),
      { numRuns: RUNS, seed: SEED },
    );
    expect(runs).toBeGreaterThan(RUNS);
  });

  it.each(Object.entries(BROKEN_STEPS))('detect a core whose %s', (_, change) => {
    const details = fc.check(
      fc.property(history, fc.nat(), (actions, seed) => {
        return runHistory(actions, seed, breakStep(change)).maxRuns <= 1;
      }),
      { numRuns: 300, seed: SEED, endOnFailure: true },
    );
    expect(details.failed).toBe(true);
  });
});
