/** `crossroad plan`: calculates load, connections, feeders and grants for given sizes. */
import { parseArgs } from 'node:util';
import { DEFAULT_QUERY_POLICY } from '../core/query/query-policy.js';
import { DEPLOYMENT_NAMES, findDeployments } from '../deployments/deployments.js';
import { createPlan } from '../plan/create-plan.js';
import { DEFAULT_PROCESSOR_COSTS, type PlanInput } from '../plan/plan-input.js';
import { planInputOfDeployments } from '../plan/deployment-plan-input.js';
import { formatFinding } from '../table/finding.js';
import { hasErrors } from '../table/validate-rows.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, readChoice, readNumber, UsageError, type NumberBounds } from './flags.js';
import { formatPlan } from './plan/format-plan.js';

const HELP = `Usage: crossroad plan --deployment <name> | --replicas <n> [options]

Calculates the load of a tier from its sizes: slots in use, connections, feeders,
legs per second, messages and processor time of a node, grants of limits. Prints an
error for each bound that is exceeded, and a warning for each that is nearly reached.

Sizes of a deployment:
  --deployment <name>        ${DEPLOYMENT_NAMES.join(', ')}
Sizes of a tier of identical replicas:
  --replicas <n>             replicas
  --zones <n>                zones (default 1)
  --slots <n>                slots per replica (default 5)
  --connections <n>          connections per replica (default 70)
  --leg-ms <ms>              mean time of a leg in a slot (default 5)
  --legs <n>                 legs per query (default: the number of replicas)
Always:
  --nodes <n>                nodes (default 3)
  --queries-per-second <n>   of all nodes together (default 100)
  --extra-load <share>       hedges and retries as a share of legs (default 0.03)
  --feeders <n>              feeders per replica (default ${DEFAULT_QUERY_POLICY.feedersPerReplica})
  --leg-cost-us <us>         processor time per leg over HTTP (default ${DEFAULT_PROCESSOR_COSTS.legOverHttp})
  --leg-message-cost-us <us> per leg in a message, at each end (default ${DEFAULT_PROCESSOR_COSTS.legInMessage})
  --message-cost-us <us>     per message, at each end, without the socket (default ${DEFAULT_PROCESSOR_COSTS.message})
  --json                     print JSON

Exit codes: 0 no bound is exceeded, 1 a bound is exceeded, 2 usage.`;

const OPTIONS = {
  deployment: { type: 'string' },
  replicas: { type: 'string' },
  zones: { type: 'string', default: '1' },
  slots: { type: 'string', default: '5' },
  connections: { type: 'string', default: '70' },
  'leg-ms': { type: 'string', default: '5' },
  legs: { type: 'string' },
  nodes: { type: 'string', default: '3' },
  'queries-per-second': { type: 'string', default: '100' },
  'extra-load': { type: 'string', default: '0.03' },
  feeders: { type: 'string', default: String(DEFAULT_QUERY_POLICY.feedersPerReplica) },
  'leg-cost-us': { type: 'string', default: String(DEFAULT_PROCESSOR_COSTS.legOverHttp) },
  'leg-message-cost-us': { type: 'string', default: String(DEFAULT_PROCESSOR_COSTS.legInMessage) },
  'message-cost-us': { type: 'string', default: String(DEFAULT_PROCESSOR_COSTS.message) },
  json: { type: 'boolean', default: false },
} as const;

const COUNT: NumberBounds = { min: 1, max: 10_000_000, integer: true };
const RATE: NumberBounds = { min: 0, max: 1e9 };
const DURATION: NumberBounds = { min: 0.001, max: 1e6 };
const SHARE: NumberBounds = { min: 0, max: 1 };

type Values = ReturnType<typeof parsePlanArguments>;

const parsePlanArguments = (args: readonly string[]) =>
  parseArgs({ args: [...args], options: OPTIONS }).values;

const readUniformReplicas = (
  values: Values,
  replicas: string,
): Pick<PlanInput, 'groups' | 'routes' | 'zones'> => {
  const count = readNumber('replicas', replicas, COUNT);
  const legs = values.legs === undefined ? count : readNumber('legs', values.legs, COUNT);
  const group = {
    name: 'replicas',
    replicas: count,
    slots: readNumber('slots', values.slots, COUNT),
    connections: readNumber('connections', values.connections, COUNT),
    legMs: readNumber('leg-ms', values['leg-ms'], DURATION),
  };
  return {
    zones: readNumber('zones', values.zones, COUNT),
    groups: [group],
    routes: [{ name: 'query', share: 1, legs: [{ group: group.name, legs }] }],
  };
};

const readBackends = (values: Values): Pick<PlanInput, 'groups' | 'routes' | 'zones'> => {
  const { deployment, replicas } = values;
  if ((deployment === undefined) === (replicas === undefined)) {
    throw new UsageError('either --deployment or --replicas is required');
  }
  return deployment === undefined
    ? readUniformReplicas(values, replicas ?? '')
    : planInputOfDeployments(
        findDeployments(readChoice('deployment', deployment, DEPLOYMENT_NAMES)),
      );
};

const readInput = (values: Values): PlanInput => ({
  ...readBackends(values),
  nodes: readNumber('nodes', values.nodes, COUNT),
  queriesPerSecond: readNumber('queries-per-second', values['queries-per-second'], RATE),
  extraLoad: readNumber('extra-load', values['extra-load'], SHARE),
  feedersPerReplica: readNumber('feeders', values.feeders, COUNT),
  costs: {
    legOverHttp: readNumber('leg-cost-us', values['leg-cost-us'], RATE),
    legInMessage: readNumber('leg-message-cost-us', values['leg-message-cost-us'], RATE),
    message: readNumber('message-cost-us', values['message-cost-us'], RATE),
  },
});

const runPlan = (args: readonly string[]): ExitCode => {
  const values = parsePlanArguments(args);
  const plan = createPlan(readInput(values));
  process.stdout.write(`${values.json ? JSON.stringify(plan) : formatPlan(plan)}\n`);
  if (!values.json) {
    plan.findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
  }
  return hasErrors(plan.findings) ? ExitCode.failed : ExitCode.done;
};

/** The subcommand `plan`. */
export const planCommand: Command = defineCommand({
  name: 'plan',
  summary: 'calculate load, connections and grants for given sizes',
  help: HELP,
  run: (args) => Promise.resolve().then(() => runPlan(args)),
});
