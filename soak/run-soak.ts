/** Executes one run and checks its observations. */
import { mkdir, readFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { bundlePlatform, type CompiledSource } from '../test/runtime/compiled-source.js';
import { checkRun } from './checker/check-run.js';
import type { CheckedRun } from './checker/evidence.js';
import type { PromiseName, Violation } from './checker/violation.js';
import { FaultRunner, type ExecutedFault } from './faults/fault-runner.js';
import type { Observations } from './model/observations.js';
import { drawPlan, type SoakOptions, type SoakPlan } from './model/plan.js';
import { streamOf } from './model/random-streams.js';
import { watchForStalls } from './world/recorder.js';
import { SoakWorld } from './world/soak-world.js';

const ROOT = resolve(import.meta.dirname, '..');

/** With fewer connections per gateway than this, gathers may use feeders. */
const MIN_CONNECTIONS_WITHOUT_FEEDERS = 2;

/** Interval of the readiness checks during the warm-up, and their timeout, in milliseconds. */
const READY_CHECK_MS = 100;
const READY_TIMEOUT_MS = 30_000;

/** Result of a run. */
export interface SoakResult {
  readonly plan: SoakPlan;
  readonly observations: Observations;
  readonly executed: readonly ExecutedFault[];
  readonly violations: readonly Violation[];
  /** Number of cases checked for each promise. */
  readonly caseCounts: ReadonlyMap<PromiseName, number>;
  /** Start of the run, once all processes were spawned, in milliseconds on the monotonic clock. */
  readonly startedAt: number;
  /** Folder that contains the logs of the gateways. */
  readonly folder: string;
}

/** Reads the Node.js flags with which the deployment starts the gateway. */
const readRuntimeFlags = async (): Promise<readonly string[]> => {
  const deployment = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "node (.*) target\/gateway\.cjs"$/m.exec(deployment)?.[1];
  if (run === undefined) {
    throw new Error('deploy/system.toml has no run command of the gateway in the expected form');
  }
  return run.split(' ');
};

/** Builds the program from the sources, unless another one is given, which is kept. */
const prepareProgram = async (program: string | undefined): Promise<CompiledSource> =>
  program === undefined
    ? bundlePlatform()
    : { main: resolve(program), remove: () => Promise.resolve() };

const waitUntilAllReady = async ({ observations, gateways }: SoakWorld): Promise<void> => {
  const giveUpAt = performance.now() + READY_TIMEOUT_MS;
  const isReady = (number: number): boolean =>
    observations.readiness.findLast(({ gateway }) => gateway === number)?.ready ?? false;
  while (!gateways.every(({ number }) => isReady(number))) {
    if (performance.now() > giveUpAt) {
      throw new Error('not all gateways became ready in time; their logs are in out/soak');
    }
    await pause(READY_CHECK_MS);
  }
};

const checkedRunOf = ({ bounds, gateways, maxConnections }: SoakPlan): CheckedRun => ({
  bounds,
  gateways,
  usesFeeders: maxConnections < MIN_CONNECTIONS_WITHOUT_FEEDERS * gateways,
});

const executePlan = async (world: SoakWorld, plan: SoakPlan): Promise<readonly ExecutedFault[]> => {
  const { observations } = world;
  const faults = new FaultRunner(world, streamOf(plan.seed, 'store-returns', 1));
  world.startCallers();
  const warm = pause(plan.warmUpMs);
  await waitUntilAllReady(world);
  await warm;
  world.startPoisonCallers();
  await faults.runSchedule(plan.schedule);
  observations.faultsEndedAt = performance.now();
  const recoveryTime = pause(plan.bounds.recoveryMs + plan.finalMs);
  await faults.runSchedule(plan.plannedWork);
  await recoveryTime;
  await world.stopCallers();
  return faults.executed;
};

/**
 * Executes a run. Rejects if the gateways do not become ready or a process cannot be started.
 *
 * @param program - path of the bundled gateway program; absent if the program is built from the sources
 */
export const runSoak = async (options: SoakOptions, program?: string): Promise<SoakResult> => {
  const plan = drawPlan(options);
  const folder = join(ROOT, `out/soak/seed-${options.seed}-${process.pid}`);
  await mkdir(folder, { recursive: true });
  const bundle = await prepareProgram(program);
  const runtimeFlags = await readRuntimeFlags();
  const files = { program: bundle.main, runtimeFlags, folder };
  const world = await SoakWorld.start(plan, files);
  const { observations } = world;
  const stopStallWatch = watchForStalls(observations);
  const startedAt = performance.now();
  try {
    const executed = await executePlan(world, plan);
    stopStallWatch();
    const verdict = checkRun(observations, checkedRunOf(plan));
    return { plan, observations, executed, ...verdict, startedAt, folder };
  } finally {
    stopStallWatch();
    await world.stop();
    await bundle.remove();
  }
};
