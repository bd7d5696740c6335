/** `crossroad simulate`: injects faults into a simulated tier and checks the promises. */
import { parseArgs } from 'node:util';
import Table from 'cli-table3';
import { VARIANT_NAMES } from '../experiment/scenario.js';
import {
  buildFaultScenario,
  FAULT_NAMES,
  type FaultName,
  listFaultPairs,
  listSingleFaults,
} from '../simulation/scenario/faults.js';
import {
  runSimulatedScenario,
  type SimulatedScenarioResult,
} from '../simulation/scenario/run-scenario.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, readChoice, readNumber, UsageError } from './flags.js';

const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;
/** Most violations printed per scenario. */
const PRINTED_VIOLATIONS = 5;

const HELP = `Usage: crossroad simulate <faults> [options]

Runs both deployments under load in virtual time, injects the given faults and
checks the eight promises throughout. The same seed gives the same trace.

<faults> is one fault, several joined by "+", "singles" for each fault alone, or
"pairs" for each pair of faults. Faults:
  ${FAULT_NAMES.slice(0, 9).join(', ')},
  ${FAULT_NAMES.slice(9).join(', ')}

Options:
  --seed <n>         seed of the simulation (default 1)
  --variant <name>   ${VARIANT_NAMES.join(', ')} (default default)
  --trace            print a hash of every step of every node
  --json             print the results as JSON

Exit codes: 0 all promises kept, 1 a promise was broken, 2 usage.`;

const OPTIONS = {
  seed: { type: 'string', default: '1' },
  variant: { type: 'string', default: 'default' },
  trace: { type: 'boolean', default: false },
  json: { type: 'boolean', default: false },
} as const;

const readFaults = (text: string | undefined): FaultName[][] => {
  switch (text) {
    case undefined:
      throw new UsageError('a fault, "singles" or "pairs" is required; see --help');
    case 'singles':
      return listSingleFaults();
    case 'pairs':
      return listFaultPairs();
    default:
      return [text.split('+').map((name) => readChoice('faults', name, FAULT_NAMES))];
  }
};

const worstCoverage = ({ run }: SimulatedScenarioResult): number =>
  Math.min(1, ...run.kinds.map(({ coverageMean }) => coverageMean));

const worstP99 = ({ run }: SimulatedScenarioResult): number =>
  Math.max(0, ...run.kinds.map(({ p99Ms }) => p99Ms));

const slowestEdit = ({ edits }: SimulatedScenarioResult): string =>
  edits.some(({ inForceMs }) => inForceMs === undefined)
    ? 'not in force'
    : Math.max(0, ...edits.map(({ inForceMs }) => inForceMs ?? 0)).toFixed(0);

const printResult = (result: SimulatedScenarioResult): void => {
  const broken = result.broken.length + result.run.violationCount;
  const calls = result.run.kinds.reduce((sum, kind) => sum + kind.calls, 0);
  process.stderr.write(
    `simulate: ${result.scenario}: ${calls} calls, ${broken} violations, ${(result.tookMs / 1_000).toFixed(1)} s\n`,
  );
  for (const { invariant, at, detail } of result.broken.slice(0, PRINTED_VIOLATIONS)) {
    process.stderr.write(`simulate:   ${invariant} at ${at.toFixed(1)} ms: ${detail}\n`);
  }
  for (const { promise, subject, seen } of result.run.violations.slice(0, PRINTED_VIOLATIONS)) {
    process.stderr.write(`simulate:   ${promise} ${subject}: ${seen}\n`);
  }
};

const printTable = (results: readonly SimulatedScenarioResult[]): void => {
  const table = new Table({
    head: ['faults', 'calls', 'worst p99 ms', 'worst mean coverage', 'edit ms', 'broken', 'trace'],
  });
  for (const result of results) {
    table.push([
      result.scenario,
      result.run.kinds.reduce((sum, kind) => sum + kind.calls, 0),
      worstP99(result).toFixed(1),
      worstCoverage(result).toFixed(4),
      slowestEdit(result),
      result.broken.length + result.run.violationCount,
      result.traceHash?.slice(0, 12) ?? '',
    ]);
  }
  process.stdout.write(`${table.toString()}\n`);
};

const runSimulate = (args: readonly string[]): Promise<ExitCode> => {
  const { values, positionals } = parseArgs({
    args: [...args],
    options: OPTIONS,
    allowPositionals: true,
  });
  const seed = readNumber('seed', values.seed, SEED_BOUNDS);
  const variant = readChoice('variant', values.variant, VARIANT_NAMES);
  const results = readFaults(positionals[0]).map((faults) => {
    const scenario = buildFaultScenario(faults);
    const result = runSimulatedScenario({ scenario, variant, seed }, { trace: values.trace });
    printResult(result);
    return result;
  });
  if (values.json) {
    process.stdout.write(`${JSON.stringify(results, null, 2)}\n`);
  } else {
    printTable(results);
  }
  const isBroken = results.some(({ broken, run }) => broken.length + run.violationCount > 0);
  return Promise.resolve(isBroken ? ExitCode.failed : ExitCode.done);
};

/** The subcommand `simulate`. */
export const simulateCommand: Command = defineCommand({
  name: 'simulate',
  summary: 'inject faults into a simulated tier and check the promises',
  help: HELP,
  run: (args) => runSimulate(args),
});
