/**
 * Checks the models exhaustively with spin: `npm run model [-- name…]`.
 *
 * Each model must hold unchanged and fail with each mutation. Prints one line per check. Exits with 1 if a
 * verdict differs from the expected one, or if a search was incomplete and so proves nothing.
 */
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdirSync, rmSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { MODELS } from './models.mjs';

const SPEC_FOLDER = dirname(fileURLToPath(import.meta.url));
const BUILD_FOLDER = join(SPEC_FOLDER, 'build');
/** Memory limit of one search, in megabytes. */
const MEMORY_LIMIT_MB = 3_000;
/** Time limit of one search, in milliseconds. */
const TIME_LIMIT_MS = 120_000;
/** Number of concurrent searches. */
const WORKERS = Math.max(1, Math.min(4, Math.floor(availableParallelism() / 3)));
const DEFAULT_DEPTH = '-m200000';
const OUTPUT_LIMIT_BYTES = 64 * 1024 * 1024;

const listChecks = (names) =>
  MODELS.filter(({ name }) => names.length === 0 || names.includes(name)).flatMap((model) =>
    [undefined, ...model.mutations].map((mutation) => ({ model, mutation })),
  );

const splitWords = (text) => (text ?? '').split(' ').filter((word) => word.length > 0);

const buildVerifier = ({ model, mutation }) => {
  const folder = join(BUILD_FOLDER, `${model.name}-${mutation ?? 'as-it-stands'}`);
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const macros = [...splitWords(model.size), ...(mutation === undefined ? [] : [`-D${mutation}`])];
  const source = join(SPEC_FOLDER, `${model.name}.pml`);
  const spawnOptions = { cwd: folder, stdio: ['ignore', 'pipe', 'pipe'] };
  execFileSync('spin', [...macros, '-a', source], spawnOptions);
  const flags = ['-O2', '-DSAFETY', `-DMEMLIM=${MEMORY_LIMIT_MB}`, '-w', '-o', 'pan', 'pan.c'];
  execFileSync('gcc', flags, spawnOptions);
  return folder;
};

const readNumber = (output, pattern) => Number(pattern.exec(output)?.[1] ?? Number.NaN);

/** Returns the result of a search: `holds`, `fails`, or `cut-short` if it was incomplete. */
const readVerdict = (output) => {
  if (readNumber(output, /errors: (\d+)/) > 0) {
    return 'fails';
  }
  const isCutShort =
    /Search not completed|max search depth too small|out of memory|Warning: .*truncated/i.test(
      output,
    );
  return !isCutShort && /errors: 0/.test(output) ? 'holds' : 'cut-short';
};

const runCheck = (check) => {
  const startedAt = process.hrtime.bigint();
  const folder = buildVerifier(check);
  const options = splitWords(check.model.verifier ?? DEFAULT_DEPTH);
  const run = spawnSync('./pan', options, {
    cwd: folder,
    encoding: 'utf8',
    timeout: TIME_LIMIT_MS,
    maxBuffer: OUTPUT_LIMIT_BYTES,
  });
  const output = `${run.stdout}${run.stderr}`;
  return {
    name: check.model.name,
    mutation: check.mutation,
    expected: check.mutation === undefined ? 'holds' : 'fails',
    verdict: run.error === undefined ? readVerdict(output) : 'cut-short',
    states: readNumber(output, /([\d.e+]+) states, stored/),
    seconds: Number(process.hrtime.bigint() - startedAt) / 1e9,
  };
};

const formatResult = ({ name, mutation, expected, verdict, states, seconds }) => {
  const status = verdict === expected ? 'ok' : 'NOT OK';
  const subject = `${name} ${mutation === undefined ? 'unchanged' : `with ${mutation}`}`;
  return `${status}: ${subject}: ${verdict} (expected: ${expected}), ${states} states, ${seconds.toFixed(1)} s`;
};

const runInWorker = (check) =>
  new Promise((resolve, reject) => {
    const worker = new Worker(fileURLToPath(import.meta.url), { workerData: check });
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const runAll = async (checks) => {
  const queue = [...checks];
  const results = [];
  const runQueued = async () => {
    for (let check = queue.shift(); check !== undefined; check = queue.shift()) {
      const result = await runInWorker(check);
      results.push(result);
      console.log(formatResult(result));
    }
  };
  await Promise.all(Array.from({ length: WORKERS }, runQueued));
  return results;
};

if (isMainThread) {
  const checks = listChecks(process.argv.slice(2));
  const results = await runAll(checks);
  const expectedCount = results.filter(({ verdict, expected }) => verdict === expected).length;
  console.log(`${expectedCount} of ${checks.length} checks ended as expected`);
  process.exitCode = expectedCount === checks.length && checks.length > 0 ? 0 : 1;
} else {
  parentPort.postMessage(runCheck(workerData));
}
