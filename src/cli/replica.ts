/** `crossroad replica`: runs stand-ins for the replicas of the back ends. */
import { parseArgs } from 'node:util';
import { consola } from 'consola';
import type { Deployment } from '../deployments/deployment.js';
import { DEPLOYMENT_NAMES, findDeployments } from '../deployments/deployments.js';
import { DEFAULT_FIRST_REPLICA_PORT, replicaPorts } from '../deployments/replica-ports.js';
import { ReplicaFleet } from '../standins/replica-fleet.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, PORT_BOUNDS, readChoice, readNumber, UsageError } from './flags.js';
import { waitForInterrupt } from './wait-for-interrupt.js';

const DEFAULT_HOST = '127.0.0.1';
const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;
const DELAY_BOUNDS = { min: 0, max: 10_000 } as const;

const HELP = `Usage: crossroad replica [options]

Runs stand-ins for replicas, each on its own port, all in this process: slots, a
connection limit, service times with a heavy tail, shedding, drain, cold start,
cancellation, deadlines, snapshots, and records of the requests that ran (GET /v1/ran)
and of their arrival times (GET /v1/arrivals). Faults are switched on by POST /v1/faults.

Options:
  --deployment <name>   deployment of the replicas: ${DEPLOYMENT_NAMES.join(', ')} (default both)
  --group <name>        only the replicas of this group of services, e.g. booking-desk
  --host <host>         listening address (default ${DEFAULT_HOST})
  --first-port <n>      port of the first replica of all (default ${DEFAULT_FIRST_REPLICA_PORT})
  --delay-ms <n>        round-trip time added to each request (default 0)
  --seed <n>            seed of the service times (default 1)

Runs until SIGINT or SIGTERM.`;

const OPTIONS = {
  deployment: { type: 'string', default: 'both' },
  group: { type: 'string' },
  host: { type: 'string', default: DEFAULT_HOST },
  'first-port': { type: 'string', default: String(DEFAULT_FIRST_REPLICA_PORT) },
  'delay-ms': { type: 'string', default: '0' },
  seed: { type: 'string', default: '1' },
} as const;

const keepGroup = (deployment: Deployment, group: string | undefined): Deployment => ({
  ...deployment,
  groups: deployment.groups.filter(({ name }) => group === undefined || name === group),
});

const runReplicas = async (args: readonly string[]): Promise<ExitCode> => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const name = readChoice('deployment', values.deployment, DEPLOYMENT_NAMES);
  const delay = readNumber('delay-ms', values['delay-ms'], DELAY_BOUNDS);
  const fleet = await ReplicaFleet.start({
    deployments: findDeployments(name).map((deployment) => keepGroup(deployment, values.group)),
    host: values.host,
    seed: readNumber('seed', values.seed, SEED_BOUNDS),
    portOf: replicaPorts(readNumber('first-port', values['first-port'], PORT_BOUNDS)),
    networkDelayMs: () => delay,
  });
  if (fleet.replicas.size === 0) {
    throw new UsageError(`--group: unknown group of deployment ${name}`);
  }
  consola.withTag('replica').info(`Serving ${fleet.replicas.size} replicas.`);
  await waitForInterrupt();
  await fleet.close();
  return ExitCode.done;
};

/** The subcommand `replica`. */
export const replicaCommand: Command = defineCommand({
  name: 'replica',
  summary: 'run stand-ins for replicas, for tests and demos',
  help: HELP,
  run: runReplicas,
});
