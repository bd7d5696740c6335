/** Runs a scenario in simulation, with the same deployments, load and faults as on real sockets. */
import { type Deployment, scaleDeployment } from '../../deployments/deployment.js';
import { ENSEMBLE } from '../../deployments/ensemble.js';
import { shareGroup } from '../../deployments/share-group.js';
import { TAWE } from '../../deployments/tawe.js';
import type { Scenario, ScenarioPartner, ScenarioRun } from '../../experiment/scenario.js';
import type { DrainLag, ScenarioResult } from '../../experiment/scenario-result.js';
import { RunRecorder } from '../../load/run-recorder.js';
import { InvariantChecker } from '../invariants/invariant-checker.js';
import type { Violation } from '../invariants/violation.js';
import type { SimulationObserver } from '../observer.js';
import { Simulation } from '../simulation.js';
import { TraceHasher } from '../trace.js';
import { buildWorld, startNodes } from '../world.js';
import { applyStep, type ScenarioContext } from './apply-step.js';
import { ScenarioEdits } from './scenario-edits.js';
import { buildNetwork } from './scenario-network.js';
import { SimulatedLoad } from './simulated-load.js';
import { policyOf } from './variant-policy.js';

/** Time that nodes run before the first call, in milliseconds. */
const START_MS = 4_000;
/** Time for calls to end after the last call was sent, in milliseconds. */
const DRAIN_MS = 6_000;
/** Interval between progress reports, in milliseconds of virtual time. */
const PROGRESS_MS = 1_000;

const DEPLOYMENTS: Readonly<Record<ScenarioPartner, Deployment>> = {
  ensemble: ENSEMBLE,
  tawe: TAWE,
};

/** Result of a simulated run of a scenario. */
export interface SimulatedScenarioResult extends ScenarioResult {
  readonly driver: 'simulation';
  /** Violations of the eight invariants. */
  readonly broken: readonly Violation[];
  /** Hash of all steps, equal for runs with equal inputs and program; absent without `trace`. */
  readonly traceHash?: string;
  /** Number of events that all cores handled. */
  readonly steps: number;
}

/** Options of a scenario run. */
export interface RunScenarioOptions {
  /** Whether to hash every step, which takes about as long as the run itself. */
  readonly trace?: boolean;
  /** An additional observer of the run. */
  readonly observer?: SimulationObserver;
  /** Called regularly with the elapsed and the total virtual time. */
  readonly onProgress?: (doneMs: number, totalMs: number) => void;
}

const sizeDeployment = (scenario: Scenario, partner: ScenarioPartner): Deployment => {
  const scaled = scaleDeployment(DEPLOYMENTS[partner], scenario.scale);
  return {
    ...scaled,
    groups: scaled.groups.map((group) => ({
      ...group,
      medianServiceMs: group.medianServiceMs * scenario.serviceTimeFactor,
    })),
  };
};

/** Returns the deployments of a scenario; the first one owns the shared group, if there is one. */
const deploymentsOf = (scenario: Scenario): Deployment[] => {
  const deployments = scenario.partners.map((partner) => sizeDeployment(scenario, partner));
  const [owner] = deployments;
  const group = owner?.groups.find(({ name }) => name === scenario.sharedGroup);
  return owner === undefined || group === undefined
    ? deployments
    : deployments.map((each) => (each === owner ? each : shareGroup(owner, group, each)));
};

class StepCounter {
  steps = 0;
  stepped(): void {
    this.steps += 1;
  }
}

const watchDrains = (simulation: Simulation): Map<string, DrainLag & { from: number }> => {
  const drains = new Map<string, DrainLag & { from: number }>();
  simulation.observe({
    attemptArrived: ({ replica, at }) => {
      const drained = drains.get(replica);
      if (drained !== undefined) {
        drains.set(replica, { ...drained, lastWorkMs: at - drained.from });
      }
    },
  });
  return drains;
};

const startLoads = (
  { scenario, seed }: ScenarioRun,
  simulation: Simulation,
  deployments: readonly Deployment[],
): Map<string, SimulatedLoad> => {
  const loads = new Map<string, SimulatedLoad>();
  const measuredFrom = simulation.now + scenario.warmUpMs;
  for (const load of scenario.load) {
    const deployment = deployments.find(({ partner }) => partner === load.partner);
    if (deployment !== undefined) {
      const endAt = measuredFrom + scenario.durationMs;
      loads.set(
        load.partner,
        new SimulatedLoad({ simulation, deployment, load, seed, measuredFrom, endAt }),
      );
    }
  }
  loads.forEach((load) => {
    load.start();
  });
  return loads;
};

const runWithProgress = (
  simulation: Simulation,
  durationMs: number,
  options: RunScenarioOptions,
): void => {
  const from = simulation.now;
  const until = from + durationMs;
  while (simulation.now < until) {
    simulation.runFor(Math.min(PROGRESS_MS, until - simulation.now));
    options.onProgress?.(simulation.now - from, durationMs);
  }
};

const recordCalls = (
  scenario: Scenario,
  simulation: Simulation,
  loads: ReadonlyMap<string, SimulatedLoad>,
): RunRecorder => {
  const recorder = new RunRecorder(scenario.settleMs);
  for (const load of loads.values()) {
    for (const ended of load.listEnded()) {
      recorder.record(ended);
    }
  }
  recorder.audit([...simulation.replicas.values()].flatMap(({ ran }) => [...ran]));
  return recorder;
};

/** Observers of a run: invariant checks, step counter and optional trace. */
interface RunWatchers {
  readonly checker: InvariantChecker;
  readonly counter: StepCounter;
  readonly trace: TraceHasher | undefined;
}

const watchRun = (simulation: Simulation, options: RunScenarioOptions): RunWatchers => {
  const checker = new InvariantChecker(simulation);
  const counter = new StepCounter();
  const trace = options.trace === true ? new TraceHasher() : undefined;
  simulation.observe(counter);
  if (options.observer !== undefined) {
    simulation.observe(options.observer);
  }
  if (trace !== undefined) {
    simulation.observe(trace);
  }
  return { checker, counter, trace };
};

const scheduleFaults = ({ faults, warmUpMs }: Scenario, context: ScenarioContext): void => {
  for (const fault of faults) {
    context.simulation.after(warmUpMs + fault.atMs, () => {
      applyStep(context, fault);
    });
  }
};

/** Runs a scenario in simulation, with one variant and seed. */
export const runSimulatedScenario = (
  run: ScenarioRun,
  options: RunScenarioOptions = {},
): SimulatedScenarioResult => {
  const { scenario, variant, seed } = run;
  const startedAt = performance.now();
  const deployments = deploymentsOf(scenario);
  const network = buildNetwork(deployments);
  const simulation = new Simulation({ seed, network, policy: policyOf(variant) });
  const { checker, counter, trace } = watchRun(simulation, options);
  const drains = watchDrains(simulation);
  buildWorld(simulation, { deployments, nodesPerZone: scenario.nodesPerZone });
  startNodes(simulation);
  simulation.runFor(START_MS);
  const loads = startLoads(run, simulation, deployments);
  const edits = new ScenarioEdits(simulation);
  scheduleFaults(scenario, {
    simulation,
    deployments,
    loads,
    edits,
    onDrain: (replica) => drains.set(replica, { replica, lastWorkMs: 0, from: simulation.now }),
  });
  const measuredFrom = simulation.now + scenario.warmUpMs;
  runWithProgress(simulation, scenario.warmUpMs + scenario.durationMs, options);
  simulation.runFor(DRAIN_MS);
  return {
    scenario: scenario.name,
    variant,
    seed,
    driver: 'simulation',
    run: recordCalls(scenario, simulation, loads).result(),
    edits: edits.listInForce(),
    drains: [...drains.values()].map(({ replica, lastWorkMs }) => ({ replica, lastWorkMs })),
    attemptsRan: simulation.listRuns().filter(({ at }) => at >= measuredFrom).length,
    tookMs: performance.now() - startedAt,
    broken: checker.violations,
    ...(trace && { traceHash: trace.digest() }),
    steps: counter.steps,
  };
};
