/**
 * Runs the walkthrough of the README, from an empty table to the first query, command by command.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { findConsecutivePorts } from '../../soak/world/ports.js';
import { type CompiledSource, compileSource } from '../runtime/compiled-source.js';
import { listCodeLines } from './documented-commands.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HEADING = '## From an empty table to the first query';
/** Number of ports for the replicas of both deployments. */
const REPLICA_PORTS = 108;

/**
 * Most attempts to find free ports; another program may bind one of them before the replicas do.
 */
const PORT_ATTEMPTS = 10;
const TEST_TIMEOUT_MS = 120_000;

/** Reads the commands of the walkthrough from the README. */
const readWalkthrough = (): string[] => {
  const text = readFileSync(join(ROOT, 'README.md'), 'utf8');
  const section = text.slice(text.indexOf(HEADING) + HEADING.length);
  return listCodeLines(section.slice(0, section.indexOf('\n## ')));
};

/**
 * The environment without the variables that identify a test run, so commands print as for users.
 */
const ENVIRONMENT = { ...process.env, NODE_ENV: '', TEST: '', VITEST: '', CI: '' };

const started: ChildProcess[] = [];
let source: CompiledSource;

/** Runs a line of the README unchanged in a shell, in the root folder. */
const runLine = (line: string): ChildProcess => {
  const script = `crossroad() { "${process.execPath}" "${source.main}" "$@"; }\n${line}`;
  return spawn('sh', ['-c', script], { cwd: ROOT, env: ENVIRONMENT });
};

/** Starts a long-running command; resolves with the first match of `ready` in its output. */
const startUntil = (line: string, ready: RegExp): Promise<RegExpExecArray> => {
  // With `exec` the command itself is the child process, so it can be terminated by its process id.
  const command = line.replace(/^crossroad/, `exec "${process.execPath}" "${source.main}"`);
  const child = spawn('sh', ['-c', command], { cwd: ROOT, env: ENVIRONMENT });
  started.push(child);
  return new Promise((resolve, reject) => {
    let printed = '';
    const appendOutput = (chunk: Buffer): void => {
      printed += chunk.toString();
      const found = ready.exec(printed);
      if (found !== null) {
        resolve(found);
      }
    };
    child.stdout.on('data', appendOutput);
    child.stderr.on('data', appendOutput);
    child.once('exit', () => reject(new Error(`${line} ended: ${printed}`)));
  });
};

interface Ended {
  readonly code: number;
  readonly out: string;
  readonly errors: string;
}

const runToEnd = async (line: string): Promise<Ended> => {
  const child = runLine(line);
  let [out, errors] = ['', ''];
  child.stdout?.on('data', (chunk: Buffer) => (out += chunk.toString()));
  child.stderr?.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number];
  return { code, out, errors };
};

/** Starts the replicas on a row of free ports; resolves with the first port. */
const startReplicas = async (line: string): Promise<number> => {
  for (let attempt = 1; ; attempt += 1) {
    const first = await findConsecutivePorts(REPLICA_PORTS);
    try {
      await startUntil(`${line} --first-port ${first}`, /Serving \d+ replicas/);
      return first;
    } catch (error) {
      if (attempt === PORT_ATTEMPTS) {
        throw error;
      }
    }
  }
};

const startAll = async (
  lines: readonly string[],
): Promise<{ caller: string; operator: string }> => {
  const [platform = '', replica = '', node = ''] = lines;
  const first = await startReplicas(replica);
  const listen = `--listen 127.0.0.1:0 --first-replica-port ${first}`;
  const [, port] = await startUntil(`${platform} ${listen}`, /Listening on port (\d+)/);
  const addresses = ['caller', 'peer', 'operator'].map((name) => `--${name} 127.0.0.1:0`).join(' ');
  const [, caller = '', , operator = ''] = await startUntil(
    `${node} ${addresses} --platform http://127.0.0.1:${port}`,
    /listens on ports (\d+), (\d+), (\d+)/,
  );
  return { caller, operator };
};

beforeAll(async () => {
  source = await compileSource();
});

afterAll(async () => {
  const running = started.filter((child) => child.exitCode === null && child.signalCode === null);
  await Promise.all(
    running.map((child) => {
      const ended = once(child, 'exit');
      child.kill('SIGTERM');
      return ended;
    }),
  );
  await source.remove();
});

describe('the walkthrough of the README', () => {
  it(
    'gets from an empty table to the first query in five commands',
    async () => {
      const lines = readWalkthrough();
      expect(lines).toHaveLength(5);
      const ports = await startAll(lines);
      const [, , , set = '', query = ''] = lines;
      const edited = await runToEnd(set.replace(':8083', `:${ports.operator}`));
      expect(edited).toMatchObject({ code: 0, out: '' });
      expect(edited.errors).toMatch(/accepted: version 1, .*\nin force on all 1 live nodes/);
      const answered = await runToEnd(query.replace(':8081', `:${ports.caller}`));
      expect(answered.code).toBe(0);
      const answer = JSON.parse(answered.out) as { items: unknown[]; coverage: number };
      expect(answer.items).toHaveLength(2);
      expect(answer.coverage).toBe(1);
    },
    TEST_TIMEOUT_MS,
  );
});
