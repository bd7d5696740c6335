/** Runs scenarios under several variants and seeds, one run after the other. */
import type { Scenario, ScenarioRun, VariantName } from './scenario.js';
import type { ScenarioResult } from './scenario-result.js';

/** Runs one scenario under one variant and seed. */
export type ScenarioRunner = (run: ScenarioRun) => Promise<ScenarioResult>;

/** Options of an experiment. */
export interface ExperimentOptions {
  readonly scenarios: readonly Scenario[];
  readonly variants: readonly VariantName[];
  readonly seeds: readonly number[];
  readonly runner: ScenarioRunner;
  /** Called after each run. */
  readonly onResult: (result: ScenarioResult, done: number, total: number) => void;
  /** Ends the experiment after the current run. */
  readonly interrupted: AbortSignal;
}

/** Lists all runs of an experiment; the variants of one scenario and seed are consecutive. */
export const listRuns = ({
  scenarios,
  variants,
  seeds,
}: Pick<ExperimentOptions, 'scenarios' | 'variants' | 'seeds'>): ScenarioRun[] =>
  scenarios.flatMap((scenario) =>
    seeds.flatMap((seed) => variants.map((variant) => ({ scenario, variant, seed }))),
  );

/** Executes all runs; returns the results of the completed ones. */
export const runExperiment = async (options: ExperimentOptions): Promise<ScenarioResult[]> => {
  const runs = listRuns(options);
  const results: ScenarioResult[] = [];
  for (const run of runs) {
    if (options.interrupted.aborted) {
      break;
    }
    const result = await options.runner(run);
    results.push(result);
    options.onResult(result, results.length, runs.length);
  }
  return results;
};
