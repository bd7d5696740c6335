/** `crossroad node`: runs one node until SIGTERM or SIGINT. */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { type Either, Left, Right } from 'purify-ts';
import { startNode } from '../runtime/start-node.js';
import type { RunningNode } from '../runtime/running-node.js';
import type { NodeSettings } from '../settings/node-settings.js';
import {
  readNodeSettings,
  SECRET_VARIABLE,
  type SettingsOverrides,
} from '../settings/read-node-settings.js';
import { type Finding, formatFinding } from '../table/finding.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';

const HELP = `Usage: crossroad node [--settings <file>] [options]

Runs a node until SIGTERM or SIGINT. After the first signal the node refuses new
requests as not run, finishes those in progress and exits 0; after a second one it
exits 1 at once.

Options (each overrides the field of the same name in the file):
  --settings <file>      YAML file with the settings
  --node <name>          unique over all nodes, e.g. bole-1
  --zone <name>          zone of this machine
  --region <name>        region of the zone
  --caller <address>     address for callers (HTTP), e.g. 127.0.0.1:8080
  --peer <address>       address for other nodes (TCP and UDP)
  --operator <address>   address for operators, health checks and metrics (HTTP)
  --platform <url>       base URL of the platform's object API
  --seeds <address>      a peer to contact at start; may be repeated
  --log-level <level>    error, warn, info or debug
  --seed <number>        seed of the node's random generator
  --record <file>        file to which events are recorded for crossroad replay
  --check                check the settings and exit

Addresses hold an IP address; for port 0 the kernel chooses one. The secret shared by all
nodes is the field peerSecret of the file, or the environment variable
${SECRET_VARIABLE}.

Exit codes: 0 stopped normally, 1 failed, 2 usage, 78 bad settings.`;

const OPTIONS = {
  settings: { type: 'string' },
  node: { type: 'string' },
  zone: { type: 'string' },
  region: { type: 'string' },
  caller: { type: 'string' },
  peer: { type: 'string' },
  operator: { type: 'string' },
  platform: { type: 'string' },
  seeds: { type: 'string', multiple: true },
  'log-level': { type: 'string' },
  seed: { type: 'string' },
  record: { type: 'string' },
  check: { type: 'boolean', default: false },
} as const;

interface NodeArguments {
  readonly file: string | undefined;
  readonly overrides: SettingsOverrides;
  readonly checkOnly: boolean;
}

const readSeedNumber = (text: string | undefined): unknown =>
  text !== undefined && /^-?\d+$/.test(text) ? Number(text) : text;

const parseNodeArguments = (args: readonly string[]): NodeArguments => {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const { settings, check, 'log-level': logLevel, seed, ...same } = values;
  const given = {
    ...same,
    logLevel,
    seed: readSeedNumber(seed),
    peerSecret: process.env[SECRET_VARIABLE],
  };
  const present = Object.entries(given).filter(([, value]) => value !== undefined);
  return { file: settings, overrides: Object.fromEntries(present), checkOnly: check };
};

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const loadSettings = async (
  parsed: NodeArguments,
): Promise<Either<readonly Finding[], NodeSettings>> => {
  if (parsed.file === undefined) {
    return readNodeSettings({ fileName: 'flags', text: '' }, parsed.overrides);
  }
  try {
    const text = await readFile(parsed.file, 'utf8');
    return readNodeSettings({ fileName: parsed.file, text }, parsed.overrides);
  } catch (error) {
    return Left([{ severity: 'error', place: parsed.file, problem: messageOf(error) }]);
  }
};

const printFindings = (findings: readonly Finding[]): ExitCode => {
  findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
  return ExitCode.badSettings;
};

const stopOnSignals = (node: RunningNode): void => {
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    if (signals > 1) {
      process.exit(ExitCode.failed);
    }
    void node.stop();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
};

const runNode = async (settings: NodeSettings): Promise<ExitCode> => {
  try {
    const node = await startNode(settings);
    stopOnSignals(node);
    await node.ended;
    return ExitCode.done;
  } catch (error) {
    process.stderr.write(`crossroad node: ${messageOf(error)}\n`);
    return ExitCode.failed;
  }
};

const parseUsage = (args: readonly string[]): Either<string, NodeArguments> => {
  try {
    return Right(parseNodeArguments(args));
  } catch (error) {
    return Left(messageOf(error));
  }
};

/** The subcommand `node`. */
export const nodeCommand: Command = {
  name: 'node',
  summary: 'run a node',
  help: HELP,
  async run(args) {
    const parsed = parseUsage(args);
    if (parsed.isLeft()) {
      process.stderr.write(`crossroad node: ${String(parsed.extract())}; see --help\n`);
      return ExitCode.usage;
    }
    const { checkOnly, ...rest } = parsed.unsafeCoerce();
    const settings = await loadSettings({ checkOnly, ...rest });
    if (settings.isLeft()) {
      return printFindings(settings.swap().orDefault([]));
    }
    return checkOnly ? ExitCode.done : runNode(settings.unsafeCoerce());
  },
};
