/** `crossroad load`: generates an open-loop load for a limited time and checks every answer. */
import { parseArgs } from 'node:util';
import { createConsola } from 'consola/basic';
import type { Deployment } from '../deployments/deployment.js';
import { DEPLOYMENT_NAMES, findDeployments } from '../deployments/deployments.js';
import { placeReplicas } from '../deployments/placement.js';
import { replicaPorts } from '../deployments/replica-ports.js';
import { runLoad } from '../load/run-load.js';
import { formatRun } from '../reports/kind-table.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import {
  defineCommand,
  PORT_BOUNDS,
  readChoice,
  readHostPort,
  readNumber,
  UsageError,
} from './flags.js';
import { listenForInterrupt } from './interrupt-signal.js';

const DEFAULT_SECONDS = 10;
const DEFAULT_RATE = 30;
const SECOND_MS = 1_000;
const SECONDS_BOUNDS = { min: 1, max: 3_600 } as const;
const RATE_BOUNDS = { min: 0.1, max: 10_000 } as const;
const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;

const HELP = `Usage: crossroad load --node <host:port> [--node …] [options]

Sends queries to the nodes in an open loop, over all routes and kinds of a
deployment, and checks every answer: it holds only items of its request, from one
snapshot, and its coverage is that of the shards it contains. With --replicas,
refusals and requests that are not safe to repeat are also compared with what the
replica stand-ins ran.

Options:
  --node <host:port>      caller port of a node; repeat it for each node
  --deployment <name>     ${DEPLOYMENT_NAMES.join(', ')} (default both)
  --route <name>          only this route; may be repeated
  --rate <n>              queries per second of each partner (default ${DEFAULT_RATE})
  --seconds <n>           duration of the load (default ${DEFAULT_SECONDS})
  --seed <n>              seed of arrivals and keys (default 1)
  --replicas <host:port>  address and first port of "crossroad replica"
  --json                  print the results as one JSON object

Exit codes: 0 all promises kept, 1 a promise was broken, 2 usage.`;

const OPTIONS = {
  node: { type: 'string', multiple: true },
  deployment: { type: 'string', default: 'both' },
  route: { type: 'string', multiple: true },
  rate: { type: 'string', default: String(DEFAULT_RATE) },
  seconds: { type: 'string', default: String(DEFAULT_SECONDS) },
  seed: { type: 'string', default: '1' },
  replicas: { type: 'string' },
  json: { type: 'boolean', default: false },
} as const;

const nodeUrls = (nodes: readonly string[] | undefined): string[] => {
  if (nodes === undefined || nodes.length === 0) {
    throw new UsageError('--node is required at least once');
  }
  return nodes.map((node) => {
    const { host, port } = readHostPort('node', node);
    return `http://${host}:${port}`;
  });
};

const replicaUrls = (deployments: readonly Deployment[], first: string | undefined): string[] => {
  if (first === undefined) {
    return [];
  }
  const { host, port } = readHostPort('replicas', first);
  const portOf = replicaPorts(readNumber('replicas', String(port), PORT_BOUNDS));
  return deployments
    .flatMap(placeReplicas)
    .map(({ replica }) => `http://${host}:${portOf(replica)}`);
};

const checkRoutes = (deployments: readonly Deployment[], routes: readonly string[]): void => {
  const known = new Set(deployments.flatMap(({ rows }) => rows.map(({ route }) => String(route))));
  const unknown = routes.filter((route) => !known.has(route));
  if (unknown.length > 0) {
    throw new UsageError(`--route: unknown route ${unknown.join(', ')}`);
  }
};

const deploymentsWith = (
  deployments: readonly Deployment[],
  routes: readonly string[] | undefined,
): Deployment[] =>
  deployments.filter(
    ({ rows }) => routes === undefined || rows.some(({ route }) => routes.includes(route)),
  );

const runLoadCommand = async (args: readonly string[]): Promise<ExitCode> => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const deployments = findDeployments(
    readChoice('deployment', values.deployment, DEPLOYMENT_NAMES),
  );
  checkRoutes(deployments, values.route ?? []);
  const log = createConsola({ stdout: process.stderr, stderr: process.stderr }).withTag('load');
  const interrupt = listenForInterrupt();
  const result = await runLoad({
    deployments: deploymentsWith(deployments, values.route),
    nodes: nodeUrls(values.node),
    replicas: replicaUrls(deployments, values.replicas),
    ...(values.route === undefined ? {} : { routes: values.route }),
    queriesPerSecond: readNumber('rate', values.rate, RATE_BOUNDS),
    durationMs: readNumber('seconds', values.seconds, SECONDS_BOUNDS) * SECOND_MS,
    settleMs: 0,
    seed: readNumber('seed', values.seed, SEED_BOUNDS),
    source: `load-${Date.now()}`,
    onProgress: (sentence) => log.info(sentence),
    interrupted: interrupt.signal,
  });
  interrupt.release();
  process.stdout.write(`${values.json ? JSON.stringify(result) : formatRun(result)}\n`);
  return result.violationCount === 0 ? ExitCode.done : ExitCode.failed;
};

/** The subcommand `load`. */
export const loadCommand: Command = defineCommand({
  name: 'load',
  summary: 'send load to nodes and check every answer',
  help: HELP,
  run: runLoadCommand,
});
