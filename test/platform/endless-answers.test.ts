import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RawReplica } from '../gateway/raw-replica.js';
import { bundlePlatform } from '../runtime/compiled-source.js';
import { type EndlessAnswer, ENDLESS_ANSWERS, sendWithoutEnd } from './endless-answer.js';
import { addEndlessReplica, addEndlessThread, listReplica } from './endless-replica.js';
import { type CallerAnswer, GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { SETTINGS_VARIABLE, settingsFileOf } from './settings-file.js';

const TEST_TIMEOUT_MS = 30_000;

/** Requests sent, and the interval between two of them in milliseconds. */
const REQUESTS = 100;
const INTERVAL_MS = 25;

/** Callers may lose this many of the requests that may be repeated. */
const MAX_LOST = 2;

const BUDGET_MS = 3_000;

/** Memory of a gateway on the users' machines, in MB. */
const MEMORY_MB = 350;

/** Longest time for an answer to a readiness check, in milliseconds, and how late an answer to a caller may be. */
const MAX_READINESS_MS = 500;
const MAX_LATE_MS = 500;

let fixture: GatewayFixture;
const endless: RawReplica[] = [];
const threads: Worker[] = [];
let child: ChildProcess | undefined;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  child?.kill('SIGKILL');
  child = undefined;
  await fixture.stop();
  await Promise.all(endless.splice(0).map((replica) => replica.stop()));
  await Promise.all(threads.splice(0).map((thread) => thread.terminate()));
});

const configure = (kind = 'safe'): void => {
  const route = { path_prefix: '/one/', service: 'desk', timeout_ms: BUDGET_MS, kind };
  fixture.configure([routeSpec(route)], ['desk']);
};

const answerNamed = (name: string): EndlessAnswer => {
  const answer = ENDLESS_ANSWERS[name];
  if (answer === undefined) {
    throw new Error(`there is no endless answer ${name}`);
  }
  return answer;
};

const addEndless = async (id: string, name: string): Promise<RawReplica> => {
  const replica = await addEndlessReplica(fixture, id, 'desk', answerNamed(name));
  endless.push(replica);
  return replica;
};

const sendAll = async (count: number, intervalMs: number): Promise<readonly CallerAnswer[]> => {
  const sent: Promise<CallerAnswer>[] = [];
  for (let index = 0; index < count; index += 1) {
    sent.push(fixture.request({ id: `r-${index}`, path: '/one/', budgetMs: BUDGET_MS }));
    await delay(intervalMs);
  }
  return Promise.all(sent);
};

const NAMES = Object.keys(ENDLESS_ANSWERS);

describe('a replica that sends bytes without end', { timeout: TEST_TIMEOUT_MS }, () => {
  // Bytes that are no answer counted as a full replica, which was tried again and again until the retry budget was spent.
  it.each(NAMES)('is judged as failing, and callers are served by others: %s', async (name) => {
    fixture.settings = {
      ...fixture.settings,
      bounds: { ...fixture.settings.bounds, retrySlack: 20 },
    };
    configure();
    await fixture.addReplica('desk-1', 'desk', { workMs: 20 });
    await fixture.addReplica('desk-2', 'desk', { workMs: 20 });
    const bad = await addEndless('desk-3', name);
    await fixture.serve();
    const answers = await sendAll(REQUESTS, INTERVAL_MS);
    expect(answers.filter(({ status }) => status !== 200).length).toBeLessThanOrEqual(MAX_LOST);
    expect(bad.requests.length).toBeLessThan(REQUESTS / 10);
    expect(fixture.log.lines.map(({ change }) => change)).toContainEqual(
      expect.objectContaining({ event: 'answer-unreadable', replica: 'desk-3' }),
    );
  });

  // An attempt lasted until the deadline while its replica sent as fast as it could.
  it.each(NAMES)(
    'is given up long before the deadline, and the truth is told: %s',
    async (name) => {
      configure('unsafe');
      const bad = await addEndless('desk-1', name);
      await fixture.serve();
      const { status, elapsedMs } = await fixture.request({
        id: 'r-1',
        path: '/one/',
        method: 'POST',
        budgetMs: BUDGET_MS,
      });
      expect(status).toBe(502);
      expect(elapsedMs).toBeLessThan(BUDGET_MS / 2);
      expect(bad.requests).toHaveLength(1);
    },
  );

  it('is not one that answers HEAD with the length of a large body', async () => {
    configure();
    const head = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\ncontent-length: 99000000\r\n\r\n';
    const replica = await RawReplica.start((socket) => socket.write(head));
    endless.push(replica);
    listReplica(fixture, 'desk-1', 'desk', replica.address);
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/', method: 'HEAD' });
    expect(answer.status).toBe(200);
  });

  it('is used again once it is sound', async () => {
    configure();
    let isSound = false;
    const answer = answerNamed('header lines');
    const head = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\ncontent-length: 0\r\n\r\n';
    const serve = (socket: Socket): void => {
      if (isSound) {
        socket.write(head);
      } else {
        sendWithoutEnd(socket, answer);
      }
    };
    const replica = await RawReplica.start(serve);
    endless.push(replica);
    listReplica(fixture, 'desk-1', 'desk', replica.address);
    await fixture.addReplica('desk-2', 'desk');
    await fixture.serve();
    await sendAll(20, INTERVAL_MS);
    isSound = true;
    const before = replica.requests.length;
    await delay(1_000);
    await sendAll(REQUESTS, INTERVAL_MS);
    expect(replica.requests.length - before).toBeGreaterThan(REQUESTS / 10);
  });
});

/** Starts a gateway as a process, with the flags of the deployment. */
const startProcess = async (folder: string, program: string): Promise<void> => {
  const file = join(folder, 'settings.json');
  await writeFile(file, settingsFileOf({ ...fixture.settings, memoryMb: MEMORY_MB }));
  const deployment = await readFile('deploy/system.toml', 'utf8');
  const flags = /^run = "node (.*) target\/gateway\.cjs"$/m.exec(deployment)?.[1]?.split(' ') ?? [];
  child = spawn(process.execPath, [...flags, program], {
    stdio: 'ignore',
    env: { ...process.env, [SETTINGS_VARIABLE]: file },
  });
};

const READINESS_SOURCE = `
  const { workerData: { host, port }, parentPort } = require('node:worker_threads');
  const { get } = require('node:http');
  const check = () => {
    const began = performance.now();
    const asked = get({ host, port, path: '/v1/ready', agent: false }, (answer) => {
      answer.resume();
      parentPort.postMessage(answer.statusCode === 200 ? performance.now() - began : Infinity);
    });
    asked.on('error', () => parentPort.postMessage(Infinity));
    asked.on('close', () => setTimeout(check, 50));
  };
  check();`;

/** Times of readiness checks in milliseconds, infinite if not ready; made by a thread of its own that nothing else delays. */
const checkReadiness = (): readonly number[] => {
  const times: number[] = [];
  const worker = new Worker(READINESS_SOURCE, {
    eval: true,
    workerData: fixture.settings.readiness,
  });
  worker.on('message', (time: number) => times.push(time));
  threads.push(worker);
  return times;
};

/** Largest resident memory of a process so far, in MB. */
const peakMemoryMb = async (pid: number): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? Number.NaN) / 1_000;
};

describe('all replicas send bytes without end', { timeout: TEST_TIMEOUT_MS }, () => {
  // A gateway used 587 MB of 350, answered callers seconds after their deadlines and did not answer readiness checks.
  it.each(['a body without a length', 'chunks of one byte', 'interim answers'])(
    'the gateway keeps to its memory, its deadlines and its readiness: %s',
    async (name) => {
      configure();
      for (const id of ['desk-1', 'desk-2', 'desk-3']) {
        threads.push(await addEndlessThread(fixture, id, 'desk', answerNamed(name)));
      }
      const source = await bundlePlatform();
      const folder = await mkdtemp(join(tmpdir(), 'crossroad-'));
      await startProcess(folder, source.main);
      const starting = checkReadiness();
      await until(() => starting.some((time) => time < Infinity), 'the process is ready');
      const checks = checkReadiness();
      const answers = await sendAll(300, 10);
      expect(await peakMemoryMb(child?.pid ?? 0)).toBeLessThan(MEMORY_MB);
      expect(checks.length).toBeGreaterThan(10);
      expect(Math.max(...checks)).toBeLessThan(MAX_READINESS_MS);
      const latest = Math.max(...answers.map(({ elapsedMs }) => elapsedMs));
      expect(latest).toBeLessThan(BUDGET_MS + MAX_LATE_MS);
      await source.remove();
      await rm(folder, { recursive: true, force: true });
    },
  );
});
