import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest';
import { createReplayCommand, replayCommand } from '../../src/cli/replay.js';
import { decodeHistory, encodeHistory } from '../../src/replay/history-file.js';
import { type Failure, fuzz } from '../fuzz/commands.js';
import { MUTATIONS } from '../fuzz/mutations.js';

const SEED = 4;
const HISTORIES = 100;
const mutation = MUTATIONS.find(({ name }) => name === 'sent twice');

const breakCore = (): Failure => {
  const failure = fuzz({
    seed: SEED,
    runs: HISTORIES,
    only: 'at-most-once',
    ...(mutation && { createStep: mutation.createStep }),
  });
  if (failure === undefined) {
    throw new Error('the fuzzer found no violation in the broken core');
  }
  return failure;
};

let folder: string;
let file: string;
let printed: string;
let failure: Failure;

beforeAll(() => {
  failure = breakCore();
});

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'crossroad-test-'));
  file = join(folder, 'history.json');
  printed = '';
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    printed += String(text);
    return true;
  });
});

afterEach(async () => {
  vi.restoreAllMocks();
  await rm(folder, { recursive: true });
});

describe('a history file of the fuzzer', () => {
  it('reproduces the violation with the broken core and finds none with the correct core', async () => {
    const { history, problem } = failure;
    expect(history.broke?.invariant).toBe('at-most-once');
    await writeFile(file, encodeHistory(history));
    expect(await createReplayCommand(mutation?.createStep()).run([file])).toBe(1);
    expect(problem).toContain(history.broke?.detail);
    expect(printed).toContain(`at-most-once at ${history.broke?.at} ms: ${history.broke?.detail}`);
    expect(printed).toContain('was found again');
    printed = '';
    expect(await replayCommand.run([file])).toBe(0);
    expect(printed).toContain('0 promises broken');
    expect(printed).toContain('was not found again');
  });

  it('is unchanged after encoding and decoding', () => {
    const { history } = failure;
    const read = decodeHistory(Buffer.from(encodeHistory(history)));
    expect(read.unsafeCoerce()).toEqual(history);
  });

  it.each(['{', '{}', '{"format":"crossroad-history","version":2}'])(
    'is rejected when it is malformed: %s',
    async (text) => {
      vi.spyOn(process.stderr, 'write').mockReturnValue(true);
      await writeFile(file, text);
      expect(await replayCommand.run([file])).toBe(1);
    },
  );
});
