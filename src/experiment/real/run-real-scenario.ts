/** Runs a scenario on real sockets, with the platform, replicas, nodes and callers in one process. */
import { LocalTier, placesPerZone } from '../../demo/local-tier.js';
import { demoSecret } from '../../deployments/demo-keys.js';
import { type Deployment, scaleDeployment } from '../../deployments/deployment.js';
import { findDeployments } from '../../deployments/deployments.js';
import { Arrivals } from '../../load/arrivals.js';
import { HttpCaller } from '../../load/http-caller.js';
import { OpenLoop } from '../../load/open-loop.js';
import { RunRecorder } from '../../load/run-recorder.js';
import { policyOf } from '../../simulation/scenario/variant-policy.js';
import type { Scenario, ScenarioLoad, ScenarioRun } from '../scenario.js';
import type { ScenarioResult } from '../scenario-result.js';
import { RealStepRunner } from './real-step-runner.js';

const deploymentsOf = (scenario: Scenario): Deployment[] =>
  scenario.partners
    .flatMap((partner) => findDeployments(partner))
    .map((deployment) => scaleDeployment(deployment, scenario.scale));

interface RunningLoad {
  readonly loop: OpenLoop;
  readonly caller: HttpCaller;
}

const startLoad = (
  run: ScenarioRun,
  load: ScenarioLoad,
  tier: LocalTier,
  stepRunner: RealStepRunner,
  recorder: RunRecorder,
  deployments: readonly Deployment[],
): RunningLoad[] =>
  deployments
    .filter(({ partner }) => partner === load.partner)
    .map((deployment) => {
      const caller = new HttpCaller({
        nodes: () => tier.callerUrlsIn(deployment.zones),
        secret: demoSecret(deployment.partner, 'caller'),
      });
      const { seed, scenario } = run;
      const { partner, routes, queriesPerSecond } = load;
      const loop = new OpenLoop({
        arrivals: new Arrivals({ deployment, seed, source: partner, ...(routes && { routes }) }),
        queriesPerSecond: () => queriesPerSecond * (stepRunner.loadFactors.get(partner) ?? 1),
        startAt: performance.now() + scenario.warmUpMs,
        leadMs: scenario.warmUpMs,
        durationMs: scenario.durationMs,
        send: (call, dueAt) => caller.send(call, dueAt),
        onEnded: (ended) => recorder.record(ended),
      });
      return { loop, caller };
    });

const runOnTier = async (
  run: ScenarioRun,
  tier: LocalTier,
  deployments: readonly Deployment[],
): Promise<Omit<ScenarioResult, 'tookMs'>> => {
  const { scenario, variant, seed } = run;
  const recorder = new RunRecorder(scenario.settleMs);
  const stepRunner = new RealStepRunner(tier, deployments);
  for (const fault of scenario.faults) {
    stepRunner.after(scenario.warmUpMs + fault.atMs, () => stepRunner.apply(fault));
  }
  let ranBefore = 0;
  stepRunner.after(scenario.warmUpMs, () => {
    ranBefore = tier.ran().length;
  });
  const loads = scenario.load.flatMap((load) =>
    startLoad(run, load, tier, stepRunner, recorder, deployments),
  );
  await Promise.all(loads.map(({ loop }) => loop.run()));
  const edits = await stepRunner.waitForEdits();
  await stepRunner.cancelAndWait();
  await Promise.all(loads.map(({ caller }) => caller.close()));
  const ran = tier.ran();
  recorder.audit(ran);
  return {
    scenario: scenario.name,
    variant,
    seed,
    driver: 'real',
    run: recorder.result(),
    edits,
    drains: stepRunner.listDrainLags(),
    attemptsRan: ran.length - ranBefore,
  };
};

/** Runs one scenario under one variant and seed; resolves after all parts of the tier have stopped. */
export const runRealScenario = async (run: ScenarioRun): Promise<ScenarioResult> => {
  const startedAt = performance.now();
  const deployments = deploymentsOf(run.scenario);
  const tier = await LocalTier.start({
    deployments,
    nodes: placesPerZone(deployments, run.scenario.nodesPerZone),
    seed: run.seed,
    serviceTimeFactor: run.scenario.serviceTimeFactor,
    policy: policyOf(run.variant),
  });
  try {
    const result = await runOnTier(run, tier, deployments);
    return { ...result, tookMs: performance.now() - startedAt };
  } finally {
    await tier.close();
  }
};
