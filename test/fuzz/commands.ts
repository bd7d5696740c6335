/** Commands of the stateful fuzzer: each does one action to the real cores and checks the oracle. */
import fc from 'fast-check';
import type { Action, History } from '../../src/simulation/history/action.js';
import { worldOf } from '../../src/simulation/history/run-history.js';
import { Tier } from '../../src/simulation/history/tier.js';
import type { Violation } from '../../src/simulation/invariants/violation.js';
import type { PromiseName } from '../../src/protocol/promise-name.js';
import type { StepFunction } from '../../src/simulation/node-environment.js';
import { anyAction } from './actions.js';

/** What the oracle knows of the processes, to leave out actions that do nothing. */
export interface ProcessModel {
  readonly states: ('running' | 'paused' | 'down')[];
  /** The actions done so far; those left out are not among them. */
  readonly done: Action[];
}

class ActionCommand implements fc.Command<ProcessModel, Tier> {
  constructor(
    readonly action: Action,
    private readonly expectPromisesKept: (tier: Tier) => void,
  ) {}

  check({ states }: Readonly<ProcessModel>): boolean {
    if (!('node' in this.action)) {
      return true;
    }
    const state = states[this.action.node % states.length];
    switch (this.action.type) {
      case 'crash':
        return state !== 'down';
      case 'restart':
        return state === 'down';
      case 'pause':
      case 'nap':
      case 'stop':
        return state === 'running';
      case 'wake':
        return state === 'paused';
      default:
        return true;
    }
  }

  run(model: ProcessModel, tier: Tier): void {
    model.done.push(this.action);
    tier.apply(this.action);
    [...tier.simulation.nodes.values()].forEach((node, place) => {
      model.states[place] = node.processState;
    });
    this.expectPromisesKept(tier);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** A broken promise; its message names it. */
export class BrokenPromise extends Error {
  constructor(readonly violation: Violation) {
    super(`${violation.invariant} at ${violation.at} ms: ${violation.detail}`);
  }
}

const expectKept =
  (only: PromiseName | undefined) =>
  (tier: Tier): void => {
    const violation = tier.violations.find(
      ({ invariant }) => only === undefined || invariant === only,
    );
    if (violation !== undefined) {
      throw new BrokenPromise(violation);
    }
  };

/** A history that broke a promise, as short as the fuzzer could make it. */
export interface Failure {
  readonly history: History;
  readonly problem: string;
  /** Histories run until the first failure. */
  readonly runs: number;
}

/** What the fuzzer is told. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly maxActions?: number;
  /** Breaks the core on purpose; called once for each history. */
  readonly createStep?: () => StepFunction;
  /** Replaces the actions drawn. */
  readonly actions?: fc.Arbitrary<Action>;
  /** Looks at this promise only. */
  readonly only?: PromiseName;
  /** Takes the first failure as it is, without looking for a shorter one. */
  readonly endOnFailure?: boolean;
}

const NODES_PER_ZONE = 1;
const MAX_ACTIONS = 40;

const WORLD = { world: 'small', nodesPerZone: NODES_PER_ZONE } as const;

/** Runs one history; throws when a promise breaks or the tier itself fails. */
const runOne = (
  { createStep, only }: FuzzOptions,
  seed: number,
  model: ProcessModel,
  sequence: Iterable<fc.Command<ProcessModel, Tier>>,
): void => {
  const step = createStep?.();
  const tier = new Tier(worldOf(WORLD), { seed, ...(step && { step }) });
  model.states.push(...[...tier.simulation.nodes.values()].map((node) => node.processState));
  fc.modelRun(() => ({ model, real: tier }), sequence);
  tier.settle();
  expectKept(only)(tier);
};

const historyOf = (seed: number, actions: readonly Action[], error: unknown): History => ({
  format: 'crossroad-history',
  version: 1,
  seed,
  ...WORLD,
  actions: [...actions],
  ...(error instanceof BrokenPromise && { broke: error.violation }),
});

/** Runs histories until a promise breaks; undefined when none did. */
export const fuzz = (options: FuzzOptions): Failure | undefined => {
  const arbitrary = options.actions ?? anyAction;
  const commands = fc.commands(
    [arbitrary.map((action) => new ActionCommand(action, expectKept(options.only)))],
    { maxCommands: options.maxActions ?? MAX_ACTIONS, size: 'max' },
  );
  /** The last one to fail is the shortest: fast-check goes on from failures only. */
  let shortest: Pick<Failure, 'history' | 'problem'> | undefined;
  const property = fc.property(fc.nat(1_000_000), commands, (seed, sequence) => {
    const model: ProcessModel = { states: [], done: [] };
    try {
      runOne(options, seed, model, sequence);
    } catch (error) {
      shortest = { history: historyOf(seed, model.done, error), problem: String(error) };
      throw error;
    }
  });
  const details = fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: options.endOnFailure ?? false,
  });
  return shortest && { ...shortest, runs: details.numRuns };
};
