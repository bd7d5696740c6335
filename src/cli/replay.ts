/** `crossroad replay`: replays recorded events or a history of the fuzzer. */
import { readFile, stat } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import type { Either } from 'purify-ts';
import { decodeRecord } from '../replay/event-record.js';
import { decodeHistory, isHistoryFile } from '../replay/history-file.js';
import { type HistoryReplay, replayHistory } from '../replay/replay-history.js';
import { type ReplayResult, replayRecord } from '../replay/replay-record.js';
import type { StepFunction } from '../simulation/node-environment.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, UsageError } from './flags.js';

/** Most violations printed for a history. */
const PRINTED_VIOLATIONS = 5;
/** Largest file that is read, in bytes; a node's record is at most 256 MiB. */
const LARGEST_FILE_BYTES = 512 * 1_048_576;

const HELP = `Usage: crossroad replay <file> [--json]

<file> is one of the following; the command recognises which by its content.

- Events that a node recorded (setting "record"). The core processes them again, and
  the effects of each are compared byte for byte.
- A history that the fuzzer wrote (out/fuzz/history-<seed>.json). The cores of
  a simulated tier run it again with the same seed and the same invariants, and the
  broken promises are printed.

Options:
  --json  print one JSON object

Exit codes: 0 all effects are the same, or all promises are kept; 1 an effect
differs, a promise is broken, or the file cannot be read; 2 usage.`;

/** The result of a replay and its description. */
interface ReplayReport {
  readonly result: ReplayResult | HistoryReplay;
  readonly text: string;
  readonly failed: boolean;
}

const describeRecord = (result: ReplayResult): string => {
  const { events, cutBytes, difference } = result;
  const cut = cutBytes === 0 ? '' : ` The last ${cutBytes} bytes are a truncated entry.`;
  if (difference === undefined) {
    return `${events} events had the same effects as recorded.${cut}`;
  }
  const effects = difference.effects.map(({ type }) => type).join(', ') || 'none';
  return (
    `Event ${difference.entry} (${difference.eventType} at ${difference.at} ms) ` +
    `had other effects than recorded: ${effects}.${cut}`
  );
};

const describeSameAgain = (sameAgain: boolean | undefined): string[] => {
  switch (sameAgain) {
    case undefined:
      return [];
    case true:
      return ['The violation for which the file was written was found again.'];
    case false:
      return ['The violation for which the file was written was not found again.'];
  }
};

const describeHistory = ({ violations, sameAgain, steps, traceHash }: HistoryReplay): string =>
  [
    `${steps} steps, trace ${traceHash}: ${violations.length} promises broken.`,
    ...violations
      .slice(0, PRINTED_VIOLATIONS)
      .map(({ invariant, at, detail }) => `${invariant} at ${at} ms: ${detail}`),
    ...describeSameAgain(sameAgain),
  ].join('\n');

const replayRecordBytes = (bytes: Buffer): Either<string, ReplayReport> =>
  decodeRecord(bytes)
    .map(replayRecord)
    .map((result) => ({
      result,
      text: describeRecord(result),
      failed: result.difference !== undefined,
    }));

const replayHistoryBytes = (bytes: Buffer, step?: StepFunction): Either<string, ReplayReport> =>
  decodeHistory(bytes)
    .chain((history) => replayHistory(history, step))
    .map((result) => ({
      result,
      text: describeHistory(result),
      failed: result.violations.length > 0,
    }));

const reportReadError = (problem: string): ExitCode => {
  process.stderr.write(`crossroad replay: ${problem}\n`);
  return ExitCode.failed;
};

const readFileBytes = async (file: string): Promise<Buffer | string> => {
  try {
    const { size } = await stat(file);
    return size > LARGEST_FILE_BYTES
      ? `${file} is larger than ${LARGEST_FILE_BYTES} bytes`
      : await readFile(file);
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
};

/** Creates the subcommand. For tests, `step` replaces the core's step function in histories. */
export const createReplayCommand = (step?: StepFunction): Command =>
  defineCommand({
    name: 'replay',
    summary: 'replay recorded events or a history of the fuzzer',
    help: HELP,
    async run(args) {
      const { values, positionals } = parseArgs({
        args: [...args],
        allowPositionals: true,
        options: { json: { type: 'boolean', default: false } },
      });
      const [file] = positionals;
      if (file === undefined || positionals.length > 1) {
        throw new UsageError('exactly one file is required');
      }
      const bytes = await readFileBytes(file);
      if (typeof bytes === 'string') {
        return reportReadError(bytes);
      }
      const finding = isHistoryFile(bytes)
        ? replayHistoryBytes(bytes, step)
        : replayRecordBytes(bytes);
      return finding.caseOf({
        Left: reportReadError,
        Right: ({ result, text, failed }) => {
          process.stdout.write(`${values.json ? JSON.stringify(result) : text}\n`);
          return failed ? ExitCode.failed : ExitCode.done;
        },
      });
    },
  });

/** The subcommand `replay`. */
export const replayCommand = createReplayCommand();
