import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { isOpen } from '../../soak/world/ports.js';
import { type CompiledSource, bundlePlatform } from '../runtime/compiled-source.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { SETTINGS_VARIABLE, settingsFileOf } from './settings-file.js';

let source: CompiledSource;
let fixture: GatewayFixture;
let folder: string;
let child: ChildProcess | undefined;

beforeAll(async () => {
  source = await bundlePlatform();
  folder = await mkdtemp(join(tmpdir(), 'crossroad-'));
});

afterAll(async () => {
  await source.remove();
  await rm(folder, { recursive: true, force: true });
});

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  if (child?.exitCode === null) {
    child.kill('SIGKILL');
  }
  await fixture.stop();
});

/** Standard error of the started process so far. */
let errors = '';

const start = async (settings: string): Promise<ChildProcess> => {
  const file = join(folder, `settings-${fixture.store.port}.json`);
  await writeFile(file, settings);
  errors = '';
  child = spawn(process.execPath, [source.main], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, [SETTINGS_VARIABLE]: file },
  });
  child.stderr?.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  return child;
};

/** How a process ended after a stop was requested. */
interface ProcessEnd {
  /** The exit code, or the signal that ended it. */
  readonly by: number | NodeJS.Signals | null;
  /** Time from the request to the end of the process, in milliseconds. */
  readonly afterMs: number;
}

/** Starts a process and requests its stop after `waitMs`. */
const stopAfter = async (waitMs: number): Promise<ProcessEnd> => {
  const process = await start(settingsFileOf(fixture.settings));
  const exit = once(process, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
  await delay(waitMs);
  const began = performance.now();
  process.kill('SIGTERM');
  const [code, signal] = await exit;
  return { by: code ?? signal, afterMs: performance.now() - began };
};

const untilReady = async (): Promise<void> => {
  const { host, port } = fixture.settings.readiness;
  for (let polls = 0; polls < 400; polls += 1) {
    const answer = await fetch(`http://${host}:${port}/v1/ready`).catch(() => undefined);
    if (child?.exitCode !== null || child.signalCode !== null) {
      throw new Error(`the process ended (${child?.exitCode ?? child?.signalCode}): ${errors}`);
    }
    if (answer?.status === 200) {
      return;
    }
    await delay(20);
  }
  throw new Error('timed out waiting until the process is ready');
};

const untilLogged = async (read: () => string, event: string): Promise<void> => {
  for (let polls = 0; !read().includes(`"${event}"`); polls += 1) {
    if (polls > 500) {
      throw new Error(`timed out waiting until ${event} is logged`);
    }
    await delay(20);
  }
};

const eventsOf = (output: string): string[] =>
  output
    .trim()
    .split('\n')
    .map((line) => (JSON.parse(line) as { event: string }).event);

describe('a process on the platform', () => {
  it('reports all findings of invalid settings and exits with code 78', async () => {
    const text = JSON.stringify({ node: 7, zone: 'bole', seeds: ['here'], callers: '127.0.0.1' });
    const process = await start(text);
    const [code] = (await once(process, 'close')) as [number];
    expect(code).toBe(78);
    for (const field of ['node', 'zoneRegions', 'callers', 'seeds[0]', 'bounds.drainMs']) {
      expect(errors).toContain(`.${field}: `);
    }
  });

  it('reports a truncated settings file', async () => {
    const process = await start('{"node": "front-1", "zo');
    const [code] = (await once(process, 'close')) as [number];
    expect([code, errors]).toEqual([78, expect.stringContaining('is not JSON')]);
  });

  it('logs its start, changes of its state, and its planned stop', async () => {
    fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
    await fixture.addReplica('desk-1', 'desk');
    const process = await start(settingsFileOf({ ...fixture.settings, logLevel: 'info' }));
    let output = '';
    process.stdout?.on('data', (chunk: Buffer) => (output += chunk.toString()));
    await untilReady();
    expect((await fixture.request({ id: 'r-1', path: '/one/' })).status).toBe(200);
    await fixture.addReplica('desk-2', 'desk');
    await untilLogged(() => output, 'replica-changed');
    process.kill('SIGTERM');
    const [code] = (await once(process, 'close')) as [number];
    expect(code).toBe(0);
    const expected = ['started', 'configuration-in-force', 'replicas-listed', 'ready', 'ended'];
    expect(eventsOf(output)).toEqual(expect.arrayContaining([...expected, 'replica-changed']));
  });

  it('handles signals as soon as it accepts callers', async () => {
    const process = await start(settingsFileOf(fixture.settings));
    const { host, port } = fixture.settings.callers;
    for (let polls = 0; !(await isOpen(port, host)); polls += 1) {
      expect(polls).toBeLessThan(1_000);
      await delay(5);
    }
    process.kill('SIGHUP');
    await delay(1_000);
    expect(process.signalCode).toBeNull();
    process.kill('SIGTERM');
    const [code] = (await once(process, 'close')) as [number | null];
    expect(code).toBe(0);
  });

  it('continues to serve and ends in time if its standard output is not read', async () => {
    const shards = Array.from({ length: 20 }, (_, index) => `shard-${index}`);
    const gather = { path_prefix: '/all/', gather: shards, top_k: 1, min_coverage: 0.5 };
    fixture.configure([routeSpec(gather)], shards);
    for (const shard of shards) {
      await fixture.addReplica(shard, shard, { status: shard === 'shard-0' ? 500 : 200 });
    }
    const process = await start(settingsFileOf({ ...fixture.settings, logLevel: 'info' }));
    await untilReady();
    for (let index = 0; index < 60; index += 1) {
      expect((await fixture.request({ id: `r-${index}`, path: '/all/' })).status).toBe(200);
    }
    process.kill('SIGTERM');
    await Promise.race([once(process, 'exit'), delay(8_000)]);
    expect(process.exitCode).toBe(0);
  });

  it('ends in time if a stop is requested at any moment of its start', async () => {
    const { graceMs } = fixture.settings.bounds;
    let end: ProcessEnd | undefined;
    for (let waitMs = 0; end?.by !== 0; waitMs += 40) {
      end = await stopAfter(waitMs);
      expect(['SIGTERM', 0]).toContain(end.by);
      expect(end.afterMs).toBeLessThan(graceMs);
    }
  });

  it('ends within its grace period if a replica does not answer, even after two stop requests', async () => {
    const route = routeSpec({ path_prefix: '/one/', service: 'desk', timeout_ms: 30_000 });
    fixture.configure([route], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { silent: true });
    const bounds = { ...fixture.settings.bounds, graceMs: 4_500 };
    const process = await start(settingsFileOf({ ...fixture.settings, bounds }));
    await untilReady();
    const answer = fixture.request({ id: 'r-1', path: '/one/', budgetMs: 30_000 }).catch(String);
    await until(() => fixture.replicas.get('desk-1')?.arrived.length === 1, 'the request arrived');
    const began = performance.now();
    process.kill('SIGTERM');
    await delay(1_000);
    process.kill('SIGTERM');
    const [code] = (await once(process, 'close')) as [number];
    expect(code).toBe(0);
    expect(performance.now() - began).toBeLessThan(bounds.graceMs);
    await answer;
  });
});
