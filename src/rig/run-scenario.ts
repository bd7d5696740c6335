/** Runs one rig scenario: starts its processes, runs it, checks the observations and ends the processes. */
import type { Deployment } from '../deployments/deployment.js';
import { runLoad } from '../load/run-load.js';
import { findInconsistentEdits, raceEdits } from './edit-race.js';
import { ProcessTier } from './process-tier.js';
import { RevisionWatch } from './revision-watch.js';
import { checkObservation, type RigCheck, type RigObservation } from './rig-report.js';
import type { RigScenario } from './rig-scenario.js';

const SECOND_MS = 1_000;
const QUERIES_PER_SECOND = 30;
const SETTLE_MS = 0;
const OPERATORS_PER_PARTNER = 2;
/** Number of edits of each operator per second of the load. */
const EDITS_PER_SECOND = 2;

/** Options of a scenario run. */
export interface RigOptions {
  readonly deployments: readonly Deployment[];
  readonly script: string;
  readonly seed: number;
  readonly onProgress: (sentence: string) => void;
}

const observe = async (
  tier: ProcessTier,
  scenario: RigScenario,
  options: RigOptions,
): Promise<RigObservation> => {
  const { deployments, seed, onProgress } = options;
  await scenario.prepare?.(tier);
  const watch = new RevisionWatch(tier);
  const operatorUrls = tier.nodes.map((node) => tier.operatorUrl(node));
  const [load, edits, stepChecks] = await Promise.all([
    runLoad({
      deployments,
      nodes: tier.callerUrls,
      replicas: tier.replicaUrls,
      queriesPerSecond: QUERIES_PER_SECOND,
      durationMs: scenario.seconds * SECOND_MS,
      settleMs: SETTLE_MS,
      seed,
      source: `rig-${scenario.name}`,
      onProgress,
      interrupted: new AbortController().signal,
    }),
    raceEdits({
      deployments,
      operatorUrls,
      operatorsPerPartner: OPERATORS_PER_PARTNER,
      editsPerOperator: scenario.seconds * EDITS_PER_SECOND,
    }),
    scenario.run(tier),
  ]);
  await watch.stop();
  const url = operatorUrls[0] ?? '';
  const inconsistent = await Promise.all(
    deployments.map((deployment) => findInconsistentEdits(edits, deployment, url)),
  );
  return {
    load,
    edits,
    stepChecks: [...stepChecks, ...(scenario.checkLoad?.(tier, load) ?? [])],
    inconsistentEdits: inconsistent.flat(),
    regressions: watch.regressions,
    revisionReadings: watch.readings,
  };
};

/** Runs `scenario` on its own tier; resolves to its checks after all processes have ended. */
export const runRigScenario = async (
  scenario: RigScenario,
  options: RigOptions,
): Promise<RigCheck[]> => {
  const tier = await ProcessTier.start(options);
  try {
    const observation = await observe(tier, scenario, options);
    return checkObservation(observation, scenario.requiresAllAnswered);
  } finally {
    await tier.close();
  }
};
