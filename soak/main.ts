/** `npm run soak`: executes runs for successive seeds and prints their reports. */
import { rm } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { ExitCode } from '../src/cli/exit-code.js';
import { REGRESSION_SEEDS } from './regression-seeds.js';
import { formatReport } from './report.js';
import { runSoak } from './run-soak.js';

const MS_PER_MINUTE = 60_000;

/** Minimum duration in minutes: a run needs time for its start, some faults and the recovery. */
const MIN_MINUTES = 0.75;

const MAX_GATEWAYS = 24;

const CALLERS_PER_GATEWAY = 4;

const USAGE = `usage: npm run soak -- [--minutes N] [--seed S] [--seeds COUNT] [--gateways N] [--program FILE]
       npm run soak -- --regressions

Runs gateways as processes on loopback under faults drawn from the seed, and checks them from outside.
  --minutes   length of one run; default 1, at least ${MIN_MINUTES}
  --seed      first seed; default: drawn from the clock, and printed
  --seeds     number of seeds, run one after the other; default 1
  --gateways  default 6, at most ${MAX_GATEWAYS}
  --program   bundled gateway program to run; default: built from the sources
  --regressions  repeats every run that has ever failed
Exit codes: 0 every promise held, 1 one was broken, 2 usage.`;

interface Run {
  readonly minutes: number;
  readonly seed: number;
  readonly gateways: number;
  /** Absent if the program is built from the sources. */
  readonly program?: string;
}

const readCommandLine = (): readonly Run[] | undefined => {
  const { values } = parseArgs({
    options: {
      minutes: { type: 'string', default: '1' },
      seed: { type: 'string', default: String(Date.now() % 1_000_000) },
      seeds: { type: 'string', default: '1' },
      gateways: { type: 'string', default: '6' },
      program: { type: 'string' },
      regressions: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });
  const read = {
    minutes: Number(values.minutes),
    seed: Number(values.seed),
    seeds: Number(values.seeds),
    gateways: Number(values.gateways),
    ...(values.program !== undefined && { program: values.program }),
  };
  const areWhole = [read.seed, read.seeds, read.gateways].every(Number.isInteger);
  const isPossible = read.minutes >= MIN_MINUTES && read.seeds >= 1 && read.gateways >= 1;
  if (values.help || !areWhole || !isPossible || read.gateways > MAX_GATEWAYS) {
    return undefined;
  }
  return values.regressions
    ? REGRESSION_SEEDS
    : Array.from({ length: read.seeds }, (_, index) => ({ ...read, seed: read.seed + index }));
};

const runSeed = async ({ seed, gateways, minutes, program }: Run): Promise<boolean> => {
  const durationMs = minutes * MS_PER_MINUTE;
  const callersPerGateway = CALLERS_PER_GATEWAY;
  const result = await runSoak({ seed, gateways, durationMs, callersPerGateway }, program);
  const lines = await formatReport(result);
  process.stdout.write(`${lines.join('\n')}\n`);
  const held = result.violations.length === 0;
  if (held) {
    await rm(result.folder, { recursive: true, force: true });
  }
  return held;
};

const main = async (): Promise<ExitCode> => {
  const runs = readCommandLine();
  if (runs === undefined) {
    process.stderr.write(`${USAGE}\n`);
    return ExitCode.usage;
  }
  let allHeld = true;
  for (const run of runs) {
    allHeld = (await runSeed(run)) && allHeld;
  }
  return allHeld ? ExitCode.done : ExitCode.failed;
};

/** An interrupted soak exits through `process.exit`, whose handlers kill its gateways. */
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(ExitCode.failed));
}
process.exitCode = await main();
