/** `crossroad explain`: reports what happened to a request, from the logs of all gateways. */
import { readFileSync } from 'node:fs';
import { text as readStream } from 'node:stream/consumers';
import { parseArgs } from 'node:util';
import { findCause } from '../gateway/explain/find-cause.js';
import {
  decidedAt,
  findRequestLines,
  type FoundLines,
  type RequestLine,
} from '../gateway/explain/read-lines.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, UsageError } from './flags.js';

const HELP = `Usage: crossroad explain <request-id> [log files] [--json]

Prints what the gateways decided about a request, in order, and the most likely
cause of its outcome. Reads standard input when no file is given. Text before
the JSON of a line is ignored; malformed lines are counted and skipped.

Options:
  --json  print one JSON object`;

const readTexts = async (files: readonly string[]): Promise<readonly string[]> =>
  files.length === 0
    ? [await readStream(process.stdin)]
    : files.map((file) => readFileSync(file, 'utf8'));

/** Fields that are printed in a separate column or not at all. */
const COLUMN_FIELDS = new Set(['time', 'agoMs', 'node', 'level', 'part', 'event', 'requestId']);

const formatLine = (line: RequestLine): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !COLUMN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const time = new Date(decidedAt(line)).toISOString();
  return [time, line.node, line.event, ...fields].join(' ');
};

const print = ({ lines, malformed }: FoundLines, json: boolean): void => {
  const cause = findCause(lines);
  if (json) {
    process.stdout.write(`${JSON.stringify({ cause, malformed, lines })}\n`);
    return;
  }
  const skipped = malformed === 0 ? [] : [`${malformed} malformed lines were skipped`];
  const output = [...lines.map(formatLine), `cause: ${cause}`, ...skipped];
  process.stdout.write(`${output.join('\n')}\n`);
};

const explain = async (args: readonly string[]): Promise<ExitCode> => {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: { json: { type: 'boolean', default: false } },
  });
  const [requestId, ...files] = positionals;
  if (requestId === undefined) {
    throw new UsageError('the id of the request is required');
  }
  const found = findRequestLines(await readTexts(files), requestId);
  print(found, values.json);
  return found.lines.length === 0 ? ExitCode.failed : ExitCode.done;
};

/** The subcommand `explain`. */
export const explainCommand: Command = defineCommand({
  name: 'explain',
  summary: 'explain the outcome of a request from the logs of the gateways',
  help: HELP,
  run: explain,
});
