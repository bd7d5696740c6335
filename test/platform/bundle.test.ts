import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { type CompiledSource, bundlePlatform } from '../runtime/compiled-source.js';

/** Builtin modules that a gateway does not use and that would add tens of milliseconds to its start. */
const UNUSED_BUILTINS = ['http2', 'https', 'child_process', 'cluster', 'worker_threads', 'crypto'];

/** Loads the program without settings, which makes it exit, and prints the modules loaded by then. */
const PRINT_LOADED = `
process.on('exit', () => {
  const files = Object.keys(require.cache);
  console.log(JSON.stringify({ files, builtins: process.moduleLoadList }));
});
require(process.argv[1]);
`;

interface Loaded {
  readonly files: readonly string[];
  readonly builtins: readonly string[];
}

let source: CompiledSource;

beforeAll(async () => {
  source = await bundlePlatform();
});

afterAll(() => source.remove());

const loadProgram = async (): Promise<Loaded> => {
  const run = promisify(execFile)(process.execPath, ['-e', PRINT_LOADED, source.main], {
    env: { ...process.env, CROSSROAD_BOOT: '/nonexistent' },
  });
  const stdout = await run.then(
    (done) => done.stdout,
    (failed: { readonly stdout: string }) => failed.stdout,
  );
  return JSON.parse(stdout) as Loaded;
};

it('the bundle is a single file', async () => {
  const { files } = await loadProgram();
  expect(files).toEqual([source.main]);
});

it('the bundle loads no unused builtin module', async () => {
  const { builtins } = await loadProgram();
  const loaded = UNUSED_BUILTINS.filter((name) => builtins.includes(`NativeModule ${name}`));
  expect(loaded).toEqual([]);
});
