import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type util from 'node:util';
import { fileURLToPath } from 'node:url';
import { describe, expect, it, vi } from 'vitest';
import { COMMANDS } from '../../src/cli/commands.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { listInvocations, type Invocation } from './documented-commands.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Number of argument lists that were accepted by the option specification of their command. */
const parsed = vi.hoisted(() => ({ count: 0 }));

// The commands parse their arguments by their own specifications; the mock then stops them.
vi.mock('node:util', async (importOriginal) => {
  const original = await importOriginal<typeof util>();
  const parseArgs = (config: Parameters<typeof original.parseArgs>[0]): never => {
    original.parseArgs(config);
    parsed.count += 1;
    throw new Error('stopped after its arguments were parsed');
  };
  return { ...original, parseArgs };
});

const PAGES = [
  'README.md',
  ...readdirSync(join(ROOT, 'docs/operations')).map((file) => join('docs/operations', file)),
].filter((file) => file.endsWith('.md'));

const listOf = (page: string): Invocation[] =>
  listInvocations(readFileSync(join(ROOT, page), 'utf8'));

/** Whether the command line accepts `words`: the subcommand, the action and all flags. */
const isAccepted = async ({ words, whole }: Invocation): Promise<boolean> => {
  const [name, ...rest] = words;
  if (!COMMANDS.some((command) => command.name === name)) {
    return false;
  }
  if (rest.includes('--help') || (!whole && rest.length === 0)) {
    return true;
  }
  const before = parsed.count;
  const code = await runCommandLine(words);
  return parsed.count === before + 1 && code !== ExitCode.done;
};

const findRefused = async (invocations: readonly Invocation[]): Promise<string[]> => {
  const refused: string[] = [];
  for (const invocation of invocations) {
    if (!(await isAccepted(invocation))) {
      refused.push(invocation.words.join(' '));
    }
  }
  return refused;
};

vi.spyOn(process.stderr, 'write').mockImplementation(() => true);

describe('the commands in the documentation', () => {
  it.each(PAGES)('are accepted by the command line: %s', async (page) => {
    expect(await findRefused(listOf(page))).toEqual([]);
  });

  it('are found in the README and in the pages on operations', () => {
    const names = new Set(PAGES.flatMap(listOf).map(({ words }) => words[0]));
    expect([...names]).toEqual(expect.arrayContaining(['platform', 'node', 'table', 'key']));
    expect(PAGES.flatMap(listOf).length).toBeGreaterThan(30);
  });

  it('are reported if the subcommand, the action or a flag does not exist', async () => {
    const page = [
      '    crossroad tables show',
      '    crossroad table list',
      '    NAME=1 crossroad table show --patner "the ensemble" | less',
      '    crossroad status --json \\',
      '      --every 5',
      'and `crossroad plan --nodes 3 --unknown`, `crossroad status --watch`, `crossroad plan`.',
    ].join('\n');
    expect(await findRefused(listInvocations(page))).toEqual([
      'tables show',
      'table list',
      'table show --patner the ensemble',
      'status --json --every 5',
      'plan --nodes 3 --unknown',
    ]);
  });
});
