/**
 * The rig: runs failure scenarios on separate processes and checks the promises from outside. Like the
 * scale run, it is a launch script and starts processes; nodes, replicas and the platform start none.
 */
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { createConsola } from 'consola/basic';
import { ExitCode } from '../cli/exit-code.js';
import { findDeployments } from '../deployments/deployments.js';
import type { RigCheck } from './rig-report.js';
import type { RigScenario } from './rig-scenario.js';
import { RIG_SCENARIOS } from './rig-scenarios.js';
import { runRigScenario } from './run-scenario.js';

const SCRIPT = fileURLToPath(new URL('../main.js', import.meta.url));

const HELP = `Usage: npm run rig -- [--scenario <name> …] [--seed <n>] [--list]

Starts a platform, the replicas and one node in each zone as separate processes on
loopback, injects failures while callers query and operators edit, and checks the
promises from outside. Without --scenario it runs all scenarios.

Exit codes: 0 all checks hold, 1 a check does not hold, 2 invalid usage.`;

const log = createConsola({ level: 3 }).withTag('rig');

const chooseScenarios = (names: readonly string[] | undefined): RigScenario[] | undefined => {
  if (names === undefined) {
    return [...RIG_SCENARIOS];
  }
  const chosen = RIG_SCENARIOS.filter(({ name }) => names.includes(name));
  return chosen.length === new Set(names).size ? chosen : undefined;
};

const printChecks = (checks: readonly RigCheck[]): void => {
  for (const { holds, statement, seen } of checks) {
    process.stdout.write(`  ${holds ? 'holds ' : 'BROKEN'} ${statement}: ${seen}\n`);
  }
};

const runAll = async (scenarios: readonly RigScenario[], seed: number): Promise<ExitCode> => {
  let broken = 0;
  for (const scenario of scenarios) {
    process.stdout.write(`${scenario.name}: ${scenario.summary}\n`);
    const checks = await runRigScenario(scenario, {
      deployments: findDeployments('both'),
      script: SCRIPT,
      seed,
      onProgress: (sentence) => log.debug(sentence),
    });
    printChecks(checks);
    broken += checks.filter(({ holds }) => !holds).length;
  }
  process.stdout.write(`${scenarios.length} scenarios, ${broken} checks broken\n`);
  return broken === 0 ? ExitCode.done : ExitCode.failed;
};

const main = async (): Promise<ExitCode> => {
  const { values } = parseArgs({
    options: {
      scenario: { type: 'string', multiple: true },
      seed: { type: 'string', default: '1' },
      list: { type: 'boolean', default: false },
      help: { type: 'boolean', short: 'h', default: false },
    },
  });
  if (values.help) {
    process.stdout.write(`${HELP}\n`);
    return ExitCode.done;
  }
  if (values.list) {
    RIG_SCENARIOS.forEach(({ name, summary }) => process.stdout.write(`${name}: ${summary}\n`));
    return ExitCode.done;
  }
  const scenarios = chooseScenarios(values.scenario);
  const seed = Number(values.seed);
  if (scenarios === undefined || !Number.isInteger(seed)) {
    process.stderr.write(
      'rig: --scenario must name a scenario of --list, --seed must be an integer\n',
    );
    return ExitCode.usage;
  }
  return runAll(scenarios, seed);
};

process.exitCode = await main();
