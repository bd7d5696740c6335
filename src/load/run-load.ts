/** Runs the load of deployments against nodes that are already running. */
import { request } from 'undici';
import { demoSecret } from '../deployments/demo-keys.js';
import type { Deployment } from '../deployments/deployment.js';
import type { ExecutionRecord } from '../standins/replica-model/leg-exchange.js';
import { Arrivals } from './arrivals.js';
import { HttpCaller } from './http-caller.js';
import { OpenLoop } from './open-loop.js';
import { RunRecorder } from './run-recorder.js';
import type { RunResult } from './run-result.js';

/** Options of a load. */
export interface LoadOptions {
  readonly deployments: readonly Deployment[];
  /** Base URLs of the caller ports of the nodes. */
  readonly nodes: readonly string[];
  /** Base URLs of the replicas whose records are audited; empty for no audit. */
  readonly replicas: readonly string[];
  readonly routes?: readonly string[];
  readonly queriesPerSecond: number;
  readonly durationMs: number;
  readonly settleMs: number;
  readonly seed: number;
  /** Prefix of each nonce and seed of the idempotency keys; must differ between loads against one tier. */
  readonly source: string;
  readonly onProgress: (sentence: string) => void;
  readonly interrupted: AbortSignal;
}

const PROGRESS_EVERY_MS = 2_000;
const SECOND_MS = 1_000;

/** Reports the progress of a run periodically; returns a function that stops the reports. */
const reportProgress = (
  recorder: RunRecorder,
  durationMs: number,
  onProgress: (sentence: string) => void,
): (() => void) => {
  const startedAt = performance.now();
  const total = Math.round(durationMs / SECOND_MS);
  const timer = setInterval(() => {
    const seconds = Math.round((performance.now() - startedAt) / SECOND_MS);
    const { calls, violationsFound } = recorder;
    onProgress(`${seconds} of ${total} s: ${calls} calls ended, ${violationsFound} violations.`);
  }, PROGRESS_EVERY_MS);
  return () => clearInterval(timer);
};

const callersOf = (options: LoadOptions): HttpCaller[] =>
  options.deployments.map(
    ({ partner }) =>
      new HttpCaller({ nodes: () => options.nodes, secret: demoSecret(partner, 'caller') }),
  );

const loopsOf = (
  options: LoadOptions,
  callers: readonly HttpCaller[],
  recorder: RunRecorder,
): OpenLoop[] =>
  options.deployments.flatMap((deployment, index) => {
    const caller = callers[index];
    const arrivals = new Arrivals({
      deployment,
      seed: options.seed,
      source: `${options.source}-${deployment.partner}`,
      ...(options.routes === undefined ? {} : { routes: options.routes }),
    });
    return caller === undefined
      ? []
      : [
          new OpenLoop({
            arrivals,
            queriesPerSecond: () => options.queriesPerSecond,
            startAt: performance.now(),
            durationMs: options.durationMs,
            send: (call, dueAt) => caller.send(call, dueAt),
            onEnded: (ended) => recorder.record(ended),
          }),
        ];
  });

const readRecords = async (replica: string): Promise<readonly ExecutionRecord[]> => {
  const { statusCode, body } = await request(`${replica}/v1/ran`);
  if (statusCode !== 200) {
    await body.dump();
    throw new Error(`cannot read the record of replica ${replica}: status ${statusCode}`);
  }
  return ((await body.json()) as { ran: ExecutionRecord[] }).ran;
};

/**
 * Runs the load and returns its metrics and violations.
 *
 * @throws Error when the record of a replica cannot be read
 */
export const runLoad = async (options: LoadOptions): Promise<RunResult> => {
  const recorder = new RunRecorder(options.settleMs);
  const callers = callersOf(options);
  const loops = loopsOf(options, callers, recorder);
  const stopAll = (): void => loops.forEach((loop) => loop.stop());
  options.interrupted.addEventListener('abort', stopAll);
  const endProgress = reportProgress(recorder, options.durationMs, options.onProgress);
  const ended = Promise.all(loops.map((loop) => loop.run()));
  if (options.interrupted.aborted) {
    stopAll();
  }
  await ended;
  endProgress();
  await Promise.all(callers.map((caller) => caller.close()));
  const records = await Promise.all(options.replicas.map(readRecords));
  recorder.audit(records.flat());
  return recorder.result();
};
