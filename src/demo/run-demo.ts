/** The demo: a complete tier on loopback under load of all request kinds. */
import type { Deployment } from '../deployments/deployment.js';
import { runLoad } from '../load/run-load.js';
import type { RunResult } from '../load/run-result.js';
import { LocalTier, placesInZones } from './local-tier.js';

/** Number of nodes, each in a different zone. */
const DEMO_NODES = 3;
/** Queries per second of each partner. */
export const DEMO_QUERIES_PER_SECOND = 30;
/** Initial time whose calls are checked but not included in the figures, in milliseconds. */
const SETTLE_MS = 1_000;

/** Options of the demo. */
export interface DemoOptions {
  readonly deployments: readonly Deployment[];
  readonly seconds: number;
  readonly seed: number;
  readonly queriesPerSecond: number;
  /** Called with a sentence that describes the progress. */
  readonly onProgress: (sentence: string) => void;
  /** Ends the load early. */
  readonly interrupted: AbortSignal;
}

const SECOND_MS = 1_000;

/** Runs the demo and returns its result after the tier has been closed. */
export const runDemo = async (options: DemoOptions): Promise<RunResult> => {
  const tier = await LocalTier.start({
    deployments: options.deployments,
    nodes: placesInZones(options.deployments, DEMO_NODES),
    seed: options.seed,
  });
  try {
    const names = [...tier.nodes.keys()].join(', ');
    options.onProgress(`Nodes ${names} are ready with ${tier.fleet.replicas.size} replicas.`);
    return await runLoad({
      ...options,
      nodes: tier.callerUrls,
      replicas: tier.replicaUrls,
      durationMs: options.seconds * SECOND_MS,
      settleMs: SETTLE_MS,
      source: 'demo',
    });
  } finally {
    options.onProgress('Stopping the tier.');
    await tier.close();
  }
};
