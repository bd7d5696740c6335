/** Generates histories of load and faults and checks that grants and use never exceed the limits. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { step } from '../../src/core/reducer.js';
import type { Effect } from '../../src/core/effect.js';
import type { CoreState } from '../../src/core/state.js';
import type { GrantRequest } from '../../src/protocol/grant-messages.js';
import type { Simulation } from '../../src/simulation/simulation.js';
import type { StepFunction } from '../../src/simulation/node-environment.js';
import { applyFault, faultAction, type FaultAction } from '../support/fault-actions.js';
import {
  CONCURRENT_LIMIT,
  createLimitWorld,
  NODES,
  NOTICE,
  PAGE,
  PER_SECOND_LIMIT,
  sendLoad,
} from './limit-world.js';

const ZONES = ['bole', 'arada', 'kirkos'] as const;

interface LoadAction {
  readonly type: 'load' | 'rush';
  readonly node: number;
}

type Action = FaultAction | LoadAction;

/** Some calls, or more calls at once than the limits allow. */
const loadAction = fc.record({
  type: fc.constantFrom('load' as const, 'rush'),
  node: fc.nat({ max: 5 }),
});

const history = fc.array(
  fc.oneof({ weight: 1, arbitrary: loadAction }, { weight: 3, arbitrary: faultAction }),
  {
    minLength: 10,
    maxLength: 40,
  },
);

interface HistoryResult {
  readonly maxHeld: number;
  readonly maxUsed: number;
  readonly maxRate: number;
}

const isLoad = (action: Action): action is LoadAction =>
  action.type === 'load' || action.type === 'rush';

const sendLoadAction = (simulation: Simulation, { type, node }: LoadAction): void => {
  const nodes = [NODES[node] as string];
  const [pageEveryMs, noticeEveryMs, durationMs] =
    type === 'load' ? [20, 100, 2_000] : [1, 10, 300];
  sendLoad(simulation, nodes, PAGE, pageEveryMs, durationMs);
  sendLoad(simulation, nodes, NOTICE, noticeEveryMs, durationMs);
};

const runHistory = (
  actions: readonly Action[],
  seed: number,
  inner: StepFunction,
): HistoryResult => {
  const { simulation, observer } = createLimitWorld({ seed, step: inner });
  simulation.runFor(5_000);
  for (const action of actions) {
    if (isLoad(action)) {
      sendLoadAction(simulation, action);
    } else {
      applyFault(simulation, action, NODES, ZONES);
    }
  }
  simulation.runFor(10_000);
  return observer;
};

const staysWithinLimits = ({ maxHeld, maxUsed, maxRate }: HistoryResult): boolean =>
  maxHeld <= CONCURRENT_LIMIT &&
  maxUsed <= CONCURRENT_LIMIT &&
  maxRate <= PER_SECOND_LIMIT * (1 + 1e-9);

/** Changes a core after each of its steps such that one of its rules is broken. */
type CoreChange = (state: CoreState, effects: readonly Effect[]) => void;

const setDividerRequests = (effects: readonly Effect[], fields: Partial<GrantRequest>): void => {
  for (const effect of effects) {
    if (effect.type === 'send-link' && effect.message.type === 'grant-request') {
      Object.assign(effect.message, effect.message.asker === 'node' ? {} : fields);
    }
  }
};

/** Changes that each break one rule of grants. */
const BROKEN_CORES: Readonly<Record<string, CoreChange>> = {
  'new holder does not wait for earlier grants': (state) => {
    for (const tenure of state.admission.tenures.values()) {
      tenure.adoptUntil = 0;
    }
  },
  'keepers lose their votes': (state) => {
    state.admission.votes.clear();
  },
  'grants never lapse': (state) => {
    for (const use of state.admission.uses.values()) {
      if (use.held !== undefined) {
        (use.held as { expiresAt: number }).expiresAt = Number.POSITIVE_INFINITY;
      }
    }
  },
  'holder loses its record of grants': (state) => {
    for (const tenure of state.admission.tenures.values()) {
      tenure.books.clear();
    }
  },
};

/** Changes that each break one rule of divided grants. */
const BROKEN_DIVIDERS: Readonly<Record<string, CoreChange>> = {
  'dividers give grants beyond the end of their own': (state) => {
    for (const { held } of state.admission.dividers.values()) {
      if (held !== undefined) {
        (held as { expiresAt: number }).expiresAt = Number.MAX_SAFE_INTEGER;
      }
    }
  },
  'dividers lose their record of grants': (state) => {
    for (const { book } of state.admission.dividers.values()) {
      book.slices.clear();
      book.counted = 0;
    }
  },
  'dividers do not report what their grantees use': (_, effects) => {
    setDividerRequests(effects, { used: 0 });
  },
  'dividers request grants as the same process after a restart': (_, effects) => {
    setDividerRequests(effects, { process: 1 });
  },
};

const breakStep =
  (change: CoreChange, inner: StepFunction): StepFunction =>
  (state, event) => {
    const effects = inner(state, event);
    change(state, effects);
    return effects;
  };

/** Values of `maxRequesters` with which six nodes in three zones use these levels. */
const MAX_REQUESTERS_FOR = { 'one level': 6, zones: 2, 'zones and groups': 1 } as const;

/** Creates a step function whose core requests grants over these levels. */
const createLevelStep =
  (levels: keyof typeof MAX_REQUESTERS_FOR): StepFunction =>
  (state, event) => {
    state.admission.maxRequesters = MAX_REQUESTERS_FOR[levels];
    return step(state, event);
  };

/** For a longer run: FUZZ_RUNS=1000 FUZZ_SEED=7 npx vitest run test/admission/histories.test.ts */
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 40);
const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261_202);

const checkHistories = (inner: StepFunction, numRuns: number): fc.RunDetails<[Action[], number]> =>
  fc.check(
    fc.property(history, fc.nat(), (actions, seed) =>
      staysWithinLimits(runHistory(actions, seed, inner)),
    ),
    { numRuns, seed: SEED, endOnFailure: true },
  );

describe.each(['one level', 'zones', 'zones and groups'] as const)(
  'random histories of load and faults with grants over %s',
  (levels) => {
    it('never grant or use more than the limit', () => {
      fc.assert(
        fc.property(history, fc.nat(), (actions, seed) => {
          const verdict = runHistory(actions, seed, createLevelStep(levels));
          expect(verdict.maxHeld).toBeLessThanOrEqual(CONCURRENT_LIMIT);
          expect(verdict.maxUsed).toBeLessThanOrEqual(CONCURRENT_LIMIT);
          expect(verdict.maxRate).toBeLessThanOrEqual(PER_SECOND_LIMIT * (1 + 1e-9));
        }),
        { numRuns: RUNS, seed: SEED },
      );
    });
  },
);

describe('random histories', () => {
  it.each(Object.entries(BROKEN_CORES))('detect a core whose %s', (_, change) => {
    expect(checkHistories(breakStep(change, step), 200).failed).toBe(true);
  });

  it.each(Object.entries(BROKEN_DIVIDERS))('detect a core whose %s', (_, change) => {
    expect(checkHistories(breakStep(change, createLevelStep('zones')), 200).failed).toBe(true);
  });
});
