/** `crossroad status`: prints the state of the tier as one node sees it. */
import { parseArgs } from 'node:util';
import type { StatusBody } from '../operator-protocol/status-body.js';
import type { Command } from './command.js';
import type { ExitCode } from './exit-code.js';
import { defineCommand, readNumber } from './flags.js';
import { listenForInterrupt } from './interrupt-signal.js';
import { getStatus, type ClientProblem } from './operator/operator-client.js';
import { OPERATOR_HELP, OPERATOR_OPTIONS, readOperatorTarget } from './operator/operator-flags.js';
import { formatStatus } from './status/format-status.js';
import { watchStatus } from './status/watch-status.js';

/** Seconds between two requests with --watch. */
const DEFAULT_INTERVAL_SECONDS = 2;
/** Number of requests after which --watch ends. */
const DEFAULT_TIMES = 1_800;
const INTERVAL_BOUNDS = { min: 0.1, max: 3_600 } as const;
const TIMES_BOUNDS = { min: 1, max: 1_000_000, integer: true } as const;
const MS_PER_SECOND = 1_000;

const HELP = `Usage: crossroad status [options]

Shows the state as one node knows it: members with zone, state, incarnation and
revision in force, the objects in force, the use of limits, and replicas.

Options:
${OPERATOR_HELP}
  --all                  list every node and replica, however many there are
  --watch                repeat until interrupted
  --interval <seconds>   with --watch: time between two requests (default ${DEFAULT_INTERVAL_SECONDS})
  --times <n>            with --watch: end after so many requests (default ${DEFAULT_TIMES})

Exit codes: 0 done or interrupted, 1 the node did not answer, 2 usage.`;

const OPTIONS = {
  ...OPERATOR_OPTIONS,
  all: { type: 'boolean', default: false },
  watch: { type: 'boolean', default: false },
  interval: { type: 'string', default: String(DEFAULT_INTERVAL_SECONDS) },
  times: { type: 'string', default: String(DEFAULT_TIMES) },
} as const;

const printProblem = ({ problem }: ClientProblem): void => {
  process.stderr.write(`crossroad status: ${problem}\n`);
};

const runStatus = async (args: readonly string[]): Promise<ExitCode> => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const target = readOperatorTarget(values);
  const times = readNumber('times', values.times, TIMES_BOUNDS);
  const interval = readNumber('interval', values.interval, INTERVAL_BOUNDS);
  const print = (status: StatusBody): void => {
    const text = values.json ? JSON.stringify(status) : formatStatus(status, values.all);
    process.stdout.write(`${text}\n`);
  };
  const interrupt = listenForInterrupt();
  try {
    return await watchStatus({
      times: values.watch ? times : 1,
      intervalMs: interval * MS_PER_SECOND,
      signal: interrupt.signal,
      requestStatus: () => getStatus(target),
      print,
      printProblem,
    });
  } finally {
    interrupt.release();
  }
};

/** The subcommand `status`. */
export const statusCommand: Command = defineCommand({
  name: 'status',
  summary: 'show members, revisions in force, limits and replicas',
  help: HELP,
  run: runStatus,
});
