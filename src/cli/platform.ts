/** `crossroad platform`: runs a stand-in for the platform's object API. */
import { parseArgs } from 'node:util';
import { consola } from 'consola';
import type { StoreObject } from '../catalog/store-object.js';
import { DEPLOYMENT_NAMES, findDeployments } from '../deployments/deployments.js';
import { buildInitialObjects } from '../deployments/initial-objects.js';
import { DEFAULT_FIRST_REPLICA_PORT, replicaPorts } from '../deployments/replica-ports.js';
import { PlatformServer } from '../standins/platform-server.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, PORT_BOUNDS, readChoice, readHostPort, readNumber } from './flags.js';
import { waitForInterrupt } from './wait-for-interrupt.js';

const DEFAULT_LISTEN = '127.0.0.1:7000';
const DEFAULT_REPLICA_HOST = '127.0.0.1';
const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;

const HELP = `Usage: crossroad platform [options]

Runs a stand-in for the platform: a store of objects with versions and watches, and
a list of machines, with faults that can be switched on (POST /v1/faults). It keeps
all data in memory and is meant for tests and demos only.

Options:
  --listen <host:port>      listening address (default ${DEFAULT_LISTEN})
  --deployment <name>       initial objects: ${DEPLOYMENT_NAMES.join(', ')} or none
                            (default both)
  --empty-table             start without routes: no partner has a sheet
  --replica-host <host>     address of the replicas (default ${DEFAULT_REPLICA_HOST})
  --first-replica-port <n>  port of the first replica (default ${DEFAULT_FIRST_REPLICA_PORT})
  --seed <n>                seed of random faults, e.g. lost answers (default 1)

Runs until SIGINT or SIGTERM.`;

const OPTIONS = {
  listen: { type: 'string', default: DEFAULT_LISTEN },
  deployment: { type: 'string', default: 'both' },
  'empty-table': { type: 'boolean', default: false },
  'replica-host': { type: 'string', default: DEFAULT_REPLICA_HOST },
  'first-replica-port': { type: 'string', default: String(DEFAULT_FIRST_REPLICA_PORT) },
  seed: { type: 'string', default: '1' },
} as const;

const withoutSheets = (objects: readonly StoreObject[]): StoreObject[] =>
  objects
    .filter(({ content }) => content.type !== 'sheet')
    .map((object, index) => ({ ...object, revision: index + 1 }));

const runPlatform = async (args: readonly string[]): Promise<ExitCode> => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const name = readChoice('deployment', values.deployment, [...DEPLOYMENT_NAMES, 'none']);
  const portOf = replicaPorts(
    readNumber('first-replica-port', values['first-replica-port'], PORT_BOUNDS),
  );
  const allObjects =
    name === 'none'
      ? []
      : buildInitialObjects(findDeployments(name), (replica) => ({
          host: values['replica-host'],
          port: portOf(replica),
        }));
  const objects = values['empty-table'] ? withoutSheets(allObjects) : allObjects;
  const server = new PlatformServer({
    ...readHostPort('listen', values.listen),
    objects,
    seed: readNumber('seed', values.seed, SEED_BOUNDS),
  });
  const port = await server.listen();
  consola.withTag('platform').info(`Listening on port ${port} with ${objects.length} objects.`);
  await waitForInterrupt();
  await server.close();
  return ExitCode.done;
};

/** The subcommand `platform`. */
export const platformCommand: Command = defineCommand({
  name: 'platform',
  summary: 'run a stand-in for the platform store, for tests and demos',
  help: HELP,
  run: runPlatform,
});
