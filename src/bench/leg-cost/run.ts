/**
 * Measures the processor time of a leg in a node and compares it with the same requests sent by bare
 * undici pools. Each subject runs in its own process, in turns, against the same replicas. The cost of a
 * node's leg includes its share of the caller's request, of planning and of merging.
 *
 *     npm run bench -- [--shards 32] [--rounds 7] [--legs 25600] [--parallel 1] [--profile] [--json]
 *                  [--compare <dist of another commit>]
 */
import { parseArgs } from 'node:util';
import { Pool } from 'undici';
import { PlatformServer } from '../../standins/platform-server.js';
import { BENCH } from './bench-leg.js';
import type { PoolApi } from './bench-messages.js';
import { BenchProcess, type BenchProcessOptions } from './bench-process.js';
import { benchObjects } from './bench-store.js';

/** Number of replicas over which the shards are distributed. */
const REPLICAS = 8;

/** Number of first rounds that are not counted. */
const WARM_UP_ROUNDS = 2;

const POOL_APIS: readonly PoolApi[] = ['request', 'dispatch'];

interface BenchOptions {
  readonly shards: number;
  readonly rounds: number;
  readonly legs: number;
  readonly parallel: number;
  readonly profile: boolean;
  readonly compare: string | undefined;
  readonly json: boolean;
}

/** A process whose processor time is measured while it runs fan-outs. */
interface Subject {
  readonly name: string;
  readonly process: BenchProcess;
  run(fanOuts: number): Promise<void>;
}

const readOptions = (): BenchOptions => {
  const { values } = parseArgs({
    options: {
      shards: { type: 'string', default: '32' },
      rounds: { type: 'string', default: '7' },
      legs: { type: 'string', default: '25600' },
      parallel: { type: 'string', default: '1' },
      profile: { type: 'boolean', default: false },
      compare: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  });
  return {
    shards: Number(values.shards),
    rounds: Number(values.rounds),
    legs: Number(values.legs),
    parallel: Number(values.parallel),
    profile: values.profile,
    compare: values.compare,
    json: values.json,
  };
};

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? Number.NaN;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? Number.NaN)) / 2;
};

const sendQuery = async (pool: Pool, shards: number): Promise<void> => {
  const { statusCode, body } = await pool.request({
    path: `/v1/${BENCH.partner}/${BENCH.route}`,
    method: 'POST',
    headers: {
      authorization: `Bearer ${BENCH.secret}`,
      'x-crossroad-kind': BENCH.kind,
      'content-type': 'application/json',
    },
    body: '{"payload":{"season":"spring","hall":"arada"}}',
  });
  const answer = (await body.json()) as { contributed?: number };
  if (statusCode !== 200 || answer.contributed !== shards) {
    throw new Error(`status ${statusCode}: ${JSON.stringify(answer).slice(0, 300)}`);
  }
};

const startNodeSubject = async (
  name: string,
  options: BenchOptions,
  platform: string,
  start: BenchProcessOptions,
): Promise<Subject> => {
  const process = new BenchProcess('node-process', start);
  const [port = 0] = await process.start({ type: 'start-node', platform });
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: options.parallel });
  const runWorker = async (queries: number): Promise<void> => {
    for (let index = 0; index < queries; index += 1) {
      await sendQuery(pool, options.shards);
    }
  };
  return {
    name,
    process,
    run: async (fanOuts) => {
      const perWorker = Math.ceil(fanOuts / options.parallel);
      await Promise.all(Array.from({ length: options.parallel }, () => runWorker(perWorker)));
    },
  };
};

const startPoolSubject = async (
  options: BenchOptions,
  ports: readonly number[],
  api: PoolApi,
): Promise<Subject> => {
  const process = new BenchProcess('pool-process');
  await process.start({ type: 'start-pool', ports, shards: options.shards, api });
  return {
    name: `bare pool, ${api}`,
    process,
    run: async (fanOuts) => {
      await process.request({ type: 'run', fanOuts });
    },
  };
};

const startNodes = async (options: BenchOptions, platform: string): Promise<Subject[]> => {
  const execArgv = options.profile ? ['--cpu-prof', '--cpu-prof-dir=out/profiles'] : [];
  const node = await startNodeSubject('node', options, platform, { execArgv });
  if (options.compare === undefined) {
    return [node];
  }
  const build = { build: options.compare };
  return [node, await startNodeSubject('node of --compare', options, platform, build)];
};

/** Runs one round of one subject; returns its processor time per leg, in microseconds. */
const runRound = async (subject: Subject, options: BenchOptions): Promise<number> => {
  const fanOuts = Math.ceil(options.legs / options.shards);
  const before = await subject.process.readProcessorTime();
  await subject.run(fanOuts);
  const after = await subject.process.readProcessorTime();
  return (after - before) / (fanOuts * options.shards);
};

const printReport = (
  options: BenchOptions,
  subjects: readonly Subject[],
  rounds: readonly (readonly number[])[],
): void => {
  const [node = []] = rounds;
  const lines = subjects.map(({ name }, index) => {
    const own = rounds[index] ?? [];
    const ratios = node.map((value, round) => value / (own[round] ?? Number.NaN));
    return { name, microsecondsPerLeg: median(own), nodeRatio: median(ratios), rounds: own };
  });
  if (options.json) {
    process.stdout.write(`${JSON.stringify({ options, results: lines })}\n`);
    return;
  }
  for (const line of lines) {
    const figures = line.rounds.map((value) => value.toFixed(1)).join(' ');
    const ratio = line.name === 'node' ? '' : `; node / this = ${line.nodeRatio.toFixed(2)}`;
    process.stdout.write(
      `${line.name.padEnd(20)} ${line.microsecondsPerLeg.toFixed(1)} us a leg (${figures})${ratio}\n`,
    );
  }
};

const runBench = async (options: BenchOptions): Promise<void> => {
  const replicas = new BenchProcess('replica-process');
  const ports = await replicas.start({ type: 'start-replicas', count: REPLICAS });
  const platform = new PlatformServer({
    host: '127.0.0.1',
    port: 0,
    objects: benchObjects(ports, options.shards),
    seed: 1,
  });
  const platformPort = await platform.listen();
  const subjects = [
    ...(await startNodes(options, `http://127.0.0.1:${platformPort}`)),
    ...(await Promise.all(POOL_APIS.map((api) => startPoolSubject(options, ports, api)))),
  ];
  const rounds: number[][] = subjects.map(() => []);
  for (let round = 0; round < WARM_UP_ROUNDS + options.rounds; round += 1) {
    for (const [index, subject] of subjects.entries()) {
      const cost = await runRound(subject, options);
      if (round >= WARM_UP_ROUNDS) {
        rounds[index]?.push(cost);
      }
    }
  }
  await Promise.all(subjects.map((subject) => subject.process.end()));
  await replicas.end();
  await platform.close();
  printReport(options, subjects, rounds);
};

await runBench(readOptions());
process.exit(0);
