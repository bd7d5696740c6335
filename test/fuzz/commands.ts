/** Commands of the stateful fuzzer: each performs an action on real cores and checks invariants. */
import fc from 'fast-check';
import type { Action, History } from '../../src/simulation/history/action.js';
import { worldOf } from '../../src/simulation/history/run-history.js';
import { Tier } from '../../src/simulation/history/tier.js';
import type { Violation } from '../../src/simulation/invariants/violation.js';
import type { PromiseName } from '../../src/protocol/promise-name.js';
import type { StepFunction } from '../../src/simulation/node-environment.js';
import { anyAction } from './actions.js';

/** Model of the processes' states, used to skip actions that would have no effect. */
export interface ProcessModel {
  readonly states: ('running' | 'paused' | 'down')[];
  /** The actions performed so far, without those that were skipped. */
  readonly done: Action[];
}

class ActionCommand implements fc.Command<ProcessModel, Tier> {
  constructor(
    readonly action: Action,
    private readonly checkInvariants: (tier: Tier) => void,
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
    [...tier.simulation.nodes.values()].forEach((node, position) => {
      model.states[position] = node.processState;
    });
    this.checkInvariants(tier);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** Thrown when an invariant is violated; the message names the invariant. */
export class InvariantViolationError extends Error {
  constructor(readonly violation: Violation) {
    super(`${violation.invariant} at ${violation.at} ms: ${violation.detail}`);
  }
}

const throwOnViolation =
  (only: PromiseName | undefined) =>
  (tier: Tier): void => {
    const violation = tier.violations.find(
      ({ invariant }) => only === undefined || invariant === only,
    );
    if (violation !== undefined) {
      throw new InvariantViolationError(violation);
    }
  };

/** A history that failed, shrunk by the fuzzer. */
export interface Failure {
  readonly history: History;
  readonly problem: string;
  /** Number of histories run until the first failure. */
  readonly runs: number;
}

/** Options of the fuzzer. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly maxActions?: number;
  /** Creates a faulty step function; called once for each history. */
  readonly createStep?: () => StepFunction;
  /** Replaces the default arbitrary of the actions. */
  readonly actions?: fc.Arbitrary<Action>;
  /** The only invariant that is checked; all invariants when absent. */
  readonly only?: PromiseName;
  /** Whether to return the first failure without shrinking it. */
  readonly endOnFailure?: boolean;
}

const NODES_PER_ZONE = 1;
const MAX_ACTIONS = 40;

const WORLD = { world: 'small', nodesPerZone: NODES_PER_ZONE } as const;

/** Runs one history; throws if an invariant is violated or the tier itself fails. */
const runSequence = (
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
  throwOnViolation(only)(tier);
};

const buildHistory = (seed: number, actions: readonly Action[], error: unknown): History => ({
  format: 'crossroad-history',
  version: 1,
  seed,
  ...WORLD,
  actions: [...actions],
  ...(error instanceof InvariantViolationError && { broke: error.violation }),
});

/** Runs histories until one fails; returns undefined if none does. */
export const fuzz = (options: FuzzOptions): Failure | undefined => {
  const arbitrary = options.actions ?? anyAction;
  const commands = fc.commands(
    [arbitrary.map((action) => new ActionCommand(action, throwOnViolation(options.only)))],
    { maxCommands: options.maxActions ?? MAX_ACTIONS, size: 'max' },
  );
  /** The last history that failed is the shortest: fast-check shrinks from failures only. */
  let shortest: Pick<Failure, 'history' | 'problem'> | undefined;
  const property = fc.property(fc.nat(1_000_000), commands, (seed, sequence) => {
    const model: ProcessModel = { states: [], done: [] };
    try {
      runSequence(options, seed, model, sequence);
    } catch (error) {
      shortest = { history: buildHistory(seed, model.done, error), problem: String(error) };
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
