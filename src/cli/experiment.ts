/** `crossroad experiment list | run | compare`: runs scenarios with several variants and seeds. */
import { mkdir, writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { createConsola } from 'consola/basic';
import { compareResults } from '../experiment/compare-results.js';
import {
  EXPERIMENT_FORMAT,
  type ExperimentFile,
  readExperimentFile,
  writeExperimentFile,
} from '../experiment/experiment-file.js';
import { readScenarios, SCENARIO_FOLDER } from '../experiment/read-scenario.js';
import { listSimulationOnlySteps } from '../experiment/real/real-step-runner.js';
import { runRealScenario } from '../experiment/real/run-real-scenario.js';
import { runExperiment, type ScenarioRunner } from '../experiment/run-experiment.js';
import { runInSimulation } from '../experiment/run-in-simulation.js';
import { type Scenario, VARIANT_NAMES } from '../experiment/scenario.js';
import type { ScenarioResult } from '../experiment/scenario-result.js';
import { buildExperimentPage } from '../reports/experiment-page.js';
import { formatComparison, formatResults } from '../reports/experiment-table.js';
import { type Finding, formatFinding } from '../table/finding.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, readChoice, readNumber, UsageError } from './flags.js';
import { listenForInterrupt } from './interrupt-signal.js';

const PACKAGE_FOLDER = fileURLToPath(new URL('../..', import.meta.url));
const DEFAULT_FOLDER = join(PACKAGE_FOLDER, SCENARIO_FOLDER);
const DEFAULT_SEEDS = '1,2,3,4,5';
const DEFAULT_OUT = 'out/experiment';
const SEED_BOUNDS = { min: 0, max: 2_147_483_647, integer: true } as const;
const RATE_FACTOR_BOUNDS = { min: 0.001, max: 1_000 } as const;

const HELP = `Usage: crossroad experiment list [--scenarios <folder>]
       crossroad experiment run <scenario> … [options]
       crossroad experiment compare <before.json> <after.json>

list     lists the scenarios and checks their files.
run      runs scenarios under several variants and seeds, and writes results.json and
         report.html.
compare  compares two results files by the ratios of their medians over seeds.

Options of run:
  --real               use real sockets in this process instead of the simulation
  --variants <names>   from ${VARIANT_NAMES.join(', ')}, separated by commas (default all)
  --seeds <numbers>    separated by commas (default ${DEFAULT_SEEDS})
  --rate-factor <n>    factor for the rate of all arrivals (default 1)
  --scenarios <folder> folder of the scenario files (default: those of crossroad)
  --out <folder>       folder for the results (default ${DEFAULT_OUT})
  --json               print the results as one JSON object

Exit codes: 0 done, 1 a promise was broken, 2 usage, 78 a scenario file has errors.`;

const OPTIONS = {
  real: { type: 'boolean', default: false },
  variants: { type: 'string', default: VARIANT_NAMES.join(',') },
  seeds: { type: 'string', default: DEFAULT_SEEDS },
  'rate-factor': { type: 'string', default: '1' },
  scenarios: { type: 'string', default: DEFAULT_FOLDER },
  out: { type: 'string', default: DEFAULT_OUT },
  json: { type: 'boolean', default: false },
} as const;

const parseExperimentArguments = (args: readonly string[]) =>
  parseArgs({ args: [...args], allowPositionals: true, options: OPTIONS });

type Values = ReturnType<typeof parseExperimentArguments>['values'];

const log = createConsola({ stdout: process.stderr, stderr: process.stderr }).withTag('experiment');

const reportFindings = (findings: readonly Finding[]): ExitCode => {
  findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
  return ExitCode.badSettings;
};

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const NAME_WIDTH = 24;

const listScenarios = async (values: Values): Promise<ExitCode> => {
  const read = await readScenarios(values.scenarios);
  return read.caseOf({
    Left: reportFindings,
    Right: (scenarios) => {
      if (values.json) {
        printLine(JSON.stringify(scenarios));
        return ExitCode.done;
      }
      scenarios.forEach((scenario) => {
        const only = listSimulationOnlySteps(scenario).length > 0 ? ' (simulation only)' : '';
        printLine(`${scenario.name.padEnd(NAME_WIDTH)} ${scenario.title}${only}`);
      });
      return ExitCode.done;
    },
  });
};

const chooseScenarios = (
  known: readonly Scenario[],
  names: readonly string[],
  values: Values,
): Scenario[] => {
  if (names.length === 0) {
    throw new UsageError('at least one scenario is required; see crossroad experiment list');
  }
  const factor = readNumber('rate-factor', values['rate-factor'], RATE_FACTOR_BOUNDS);
  return names.map((name) => {
    const scenario = known.find((candidate) => candidate.name === name);
    if (scenario === undefined) {
      throw new UsageError(`there is no scenario "${name}"; see crossroad experiment list`);
    }
    const steps = listSimulationOnlySteps(scenario);
    if (values.real && steps.length > 0) {
      throw new UsageError(
        `scenario ${name} needs the simulation for its steps ${steps.join(', ')}`,
      );
    }
    const load = scenario.load.map((item) => ({
      ...item,
      queriesPerSecond: item.queriesPerSecond * factor,
    }));
    return { ...scenario, load };
  });
};

const SECOND_MS = 1_000;

const reportResult = (result: ScenarioResult, done: number, total: number): void => {
  const { scenario, variant, seed, run, tookMs } = result;
  const calls = run.kinds.reduce((sum, kind) => sum + kind.calls, 0);
  log.info(
    `${done} of ${total}: ${scenario} ${variant} seed ${seed}: ${calls} calls, ` +
      `${run.violationCount} violations, ${(tookMs / SECOND_MS).toFixed(1)} s.`,
  );
};

const writeReports = async (folder: string, file: ExperimentFile): Promise<void> => {
  const json = join(folder, 'results.json');
  const page = join(folder, 'report.html');
  await mkdir(dirname(json), { recursive: true });
  await writeExperimentFile(json, file);
  await writeFile(page, await buildExperimentPage(file));
  log.info(`Wrote ${json} and ${page}.`);
};

const runScenarios = async (
  values: Values,
  scenarios: readonly Scenario[],
  command: string,
): Promise<ExitCode> => {
  const startedAt = new Date().toISOString();
  const interrupt = listenForInterrupt();
  const results = await runExperiment({
    scenarios,
    variants: values.variants.split(',').map((name) => readChoice('variants', name, VARIANT_NAMES)),
    seeds: values.seeds.split(',').map((seed) => readNumber('seeds', seed, SEED_BOUNDS)),
    runner: chooseRunner(values),
    onResult: reportResult,
    interrupted: interrupt.signal,
  });
  interrupt.release();
  const file: ExperimentFile = {
    format: EXPERIMENT_FORMAT,
    command,
    startedAt,
    nodeVersion: process.version,
    results,
  };
  await writeReports(values.out, file);
  printLine(values.json ? JSON.stringify(file) : formatResults(results));
  const broken = results.some(({ run }) => run.violationCount > 0);
  return broken ? ExitCode.failed : ExitCode.done;
};

const chooseRunner = (values: Values): ScenarioRunner =>
  values.real ? runRealScenario : runInSimulation;

const run = async (
  values: Values,
  names: readonly string[],
  command: string,
): Promise<ExitCode> => {
  const read = await readScenarios(values.scenarios);
  return read.caseOf<Promise<ExitCode>>({
    Left: (findings) => Promise.resolve(reportFindings(findings)),
    Right: (known) => runScenarios(values, chooseScenarios(known, names, values), command),
  });
};

const compare = async (values: Values, files: readonly string[]): Promise<ExitCode> => {
  const [before, after] = files;
  if (before === undefined || after === undefined || files.length > 2) {
    throw new UsageError('compare requires two results files');
  }
  const [left, right] = await Promise.all([readExperimentFile(before), readExperimentFile(after)]);
  const findings = [left, right].flatMap((read) => read.swap().orDefault([]));
  if (findings.length > 0) {
    return reportFindings(findings);
  }
  return left
    .chain((old) => right.map((now) => compareResults(old.results, now.results)))
    .caseOf({
      Left: reportFindings,
      Right: (comparisons) => {
        printLine(values.json ? JSON.stringify(comparisons) : formatComparison(comparisons));
        return ExitCode.done;
      },
    });
};

const runExperimentCommand = async (args: readonly string[]): Promise<ExitCode> => {
  const { values, positionals } = parseExperimentArguments(args);
  const [action, ...names] = positionals;
  switch (action) {
    case 'list':
      return listScenarios(values);
    case 'run':
      return run(values, names, `experiment ${args.join(' ')}`);
    case 'compare':
      return compare(values, names);
    default:
      throw new UsageError('the action must be list, run or compare');
  }
};

/** The subcommand `experiment`. */
export const experimentCommand: Command = defineCommand({
  name: 'experiment',
  summary: 'run scenarios under several variants and seeds',
  help: HELP,
  run: runExperimentCommand,
});
