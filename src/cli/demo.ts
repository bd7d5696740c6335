/** `crossroad demo`: runs a whole tier on loopback in one process. */
import { parseArgs } from 'node:util';
import { createConsola } from 'consola/basic';
import { DEMO_QUERIES_PER_SECOND, runDemo } from '../demo/run-demo.js';
import { DEPLOYMENT_NAMES, findDeployments } from '../deployments/deployments.js';
import { formatRun } from '../reports/kind-table.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, readChoice, readNumber } from './flags.js';
import { listenForInterrupt } from './interrupt-signal.js';

const DEFAULT_SECONDS = 12;
const SECONDS_BOUNDS = { min: 1, max: 3_600 } as const;
const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;
const RATE_BOUNDS = { min: 0.1, max: 10_000 } as const;

const HELP = `Usage: crossroad demo [options]

Runs a whole tier on loopback in one process: the platform, all replicas of the
deployments, three nodes in different zones, and callers of each kind. Every answer
is checked by its caller and compared with what the replicas ran.

Options:
  --deployment <name>  ${DEPLOYMENT_NAMES.join(', ')} (default both)
  --seconds <n>        duration of the load (default ${DEFAULT_SECONDS})
  --rate <n>           queries per second of each partner (default ${DEMO_QUERIES_PER_SECOND})
  --seed <n>           seed of arrivals, service times and nodes (default 1)
  --json               print the results as one JSON object

Exit codes: 0 all promises kept, 1 a promise was broken, 2 usage. SIGINT ends the
load; the results are still printed.`;

const OPTIONS = {
  deployment: { type: 'string', default: 'both' },
  seconds: { type: 'string', default: String(DEFAULT_SECONDS) },
  rate: { type: 'string', default: String(DEMO_QUERIES_PER_SECOND) },
  seed: { type: 'string', default: '1' },
  json: { type: 'boolean', default: false },
} as const;

const runDemoCommand = async (args: readonly string[]): Promise<ExitCode> => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const log = createConsola({ stdout: process.stderr, stderr: process.stderr }).withTag('demo');
  const interrupt = listenForInterrupt();
  const result = await runDemo({
    deployments: findDeployments(readChoice('deployment', values.deployment, DEPLOYMENT_NAMES)),
    seconds: readNumber('seconds', values.seconds, SECONDS_BOUNDS),
    seed: readNumber('seed', values.seed, SEED_BOUNDS),
    queriesPerSecond: readNumber('rate', values.rate, RATE_BOUNDS),
    onProgress: (sentence) => log.info(sentence),
    interrupted: interrupt.signal,
  });
  interrupt.release();
  process.stdout.write(`${values.json ? JSON.stringify(result) : formatRun(result)}\n`);
  return result.violationCount === 0 ? ExitCode.done : ExitCode.failed;
};

/** The subcommand `demo`. */
export const demoCommand: Command = defineCommand({
  name: 'demo',
  summary: 'run a whole tier on loopback in one process',
  help: HELP,
  run: runDemoCommand,
});
