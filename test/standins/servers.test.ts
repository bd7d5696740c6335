import { afterEach, describe, expect, it, vi } from 'vitest';
import type { StoreObject } from '../../src/catalog/store-object.js';
import { TAWE } from '../../src/deployments/tawe.js';
import { buildInitialObjects, FIRST_SNAPSHOT } from '../../src/deployments/initial-objects.js';
import { placeReplicas } from '../../src/deployments/placement.js';
import { findFreePorts } from '../../src/rig/free-ports.js';
import type { ArrivalsBody } from '../../src/standins/arrival-log.js';
import { PlatformServer } from '../../src/standins/platform-server.js';
import { ReplicaFleet } from '../../src/standins/replica-fleet.js';
import { ReplicaServer } from '../../src/standins/replica-server.js';

const HOST = '127.0.0.1';
const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

const startReplica = async (): Promise<{ server: ReplicaServer; base: string }> => {
  const server = new ReplicaServer({
    service: 'desk-1',
    slots: 1,
    connections: 3,
    medianServiceMs: 2,
    snapshots: [{ version: 1, shardCount: 1 }],
    seed: 1,
    host: HOST,
    port: 0,
    networkDelayMs: 0,
  });
  const port = await server.listen();
  closers.push(() => server.close());
  return { server, base: `http://${HOST}:${port}` };
};

describe('replica fleet', () => {
  it('closes all ports when one of them is already in use', async () => {
    const placed = placeReplicas(TAWE).map(({ replica }) => replica);
    const occupied = await startReplica();
    const [freePort = 0] = await findFreePorts(1);
    const ports = new Map([
      [placed[0], freePort],
      [placed.at(-1), Number(new URL(occupied.base).port)],
    ]);
    const started = ReplicaFleet.start({
      deployments: [TAWE],
      host: HOST,
      seed: 1,
      portOf: (replica) => ports.get(replica) ?? 0,
      networkDelayMs: () => 0,
    });
    await expect(started).rejects.toThrow('EADDRINUSE');
    await expect(fetch(`http://${HOST}:${freePort}/`)).rejects.toThrow();
  });
});

const leg = (attempt: string, deadlineMs = 5_000): RequestInit => ({
  method: 'POST',
  headers: { 'x-crossroad-deadline-ms': String(deadlineMs) },
  body: JSON.stringify({
    request: `request-${attempt}`,
    attempt,
    partner: 'tawe',
    route: 'quote',
    kind: 'builder',
    shard: 'desk-1#0',
    snapshot: 1,
    maxItems: 5,
    safeToRepeat: true,
    payload: { nonce: attempt },
  }),
});

const startPlatform = async (
  objects: readonly StoreObject[] = [],
): Promise<{ server: PlatformServer; base: string }> => {
  const server = new PlatformServer({ host: HOST, port: 0, objects, seed: 1 });
  const port = await server.listen();
  closers.push(() => server.close());
  return { server, base: `http://${HOST}:${port}` };
};

const put = (base: string, expectedVersion: number): Promise<Response> =>
  fetch(`${base}/v1/objects/${encodeURIComponent('keys/tawe')}`, {
    method: 'PUT',
    body: JSON.stringify({
      expectedVersion,
      content: { type: 'keys', keys: { partner: 'tawe', keys: [] } },
    }),
  });

async function* readLines(response: Response): AsyncGenerator<Record<string, unknown>> {
  if (response.body === null) {
    return;
  }
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of response.body) {
    const lines = (rest + decoder.decode(chunk as Uint8Array, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    yield* lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  }
}

describe('replica server', () => {
  it('answers a leg and records that it ran', async () => {
    const { base } = await startReplica();
    const answer = await fetch(`${base}/v1/leg`, leg('a'));
    expect(answer.status).toBe(200);
    expect(await answer.json()).toMatchObject({ request: 'request-a', attempt: 'a', snapshot: 1 });
    const ran = await fetch(`${base}/v1/ran`);
    expect(await ran.json()).toMatchObject({ ran: [{ attempt: 'a', finished: true }] });
  });

  it('answers a cancelled leg immediately with 499, and legs with 503 while shedding', async () => {
    const { server, base } = await startReplica();
    await server.setFaults({ slowFactor: 100_000 });
    const pending = fetch(`${base}/v1/leg`, leg('a', 60_000));
    while (server.model.ran.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    await fetch(`${base}/v1/cancel`, { method: 'POST', body: '{"attempts":["a"]}' });
    expect((await pending).status).toBe(499);
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"shedding":true}' });
    const refused = await fetch(`${base}/v1/leg`, leg('b'));
    expect(refused.status).toBe(503);
    expect(await refused.json()).toMatchObject({ outcome: 'not-run', reason: 'shedding' });
  });

  it('finishes running requests and refuses connections until it reopens its port', async () => {
    const { server, base } = await startReplica();
    await server.setFaults({ slowFactor: 50 });
    const pending = fetch(`${base}/v1/leg`, leg('a', 60_000));
    while (server.model.ran.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"closePortMs":300}' });
    await expect(fetch(`${base}/v1/leg`, leg('b'))).rejects.toThrow();
    const answer = await pending;
    expect(answer.status).toBe(200);
    expect(answer.headers.get('connection')).toBe('close');
    const read = (): Promise<Response> => fetch(`${base}/v1/arrivals`);
    await vi.waitFor(read, { timeout: 10_000 });
    const { now, arrivals } = (await (await read()).json()) as ArrivalsBody;
    expect(arrivals).toHaveLength(1);
    expect(arrivals[0]).toBeLessThan(now);
  });

  it('answers 410 for a snapshot until it holds it', async () => {
    const { base } = await startReplica();
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"snapshots":[2]}' });
    const gone = await fetch(`${base}/v1/leg`, leg('a'));
    expect(gone.status).toBe(410);
    expect(await gone.json()).toMatchObject({ reason: 'snapshot-gone' });
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"snapshots":[1,2]}' });
    expect((await fetch(`${base}/v1/leg`, leg('b'))).status).toBe(200);
  });

  it('refuses connections while dead and reopens the same port afterwards', async () => {
    const { server, base } = await startReplica();
    await server.setFaults({ dead: true });
    await expect(fetch(`${base}/v1/leg`, leg('a'))).rejects.toThrow();
    await server.setFaults({ dead: false });
    expect((await fetch(`${base}/v1/leg`, leg('b'))).status).toBe(200);
  });

  it('truncates answers according to its faults', async () => {
    const { server, base } = await startReplica();
    await server.setFaults({ truncatedShare: 1 });
    await expect(
      fetch(`${base}/v1/leg`, leg('a')).then((answer) => answer.text()),
    ).rejects.toThrow();
  });

  it('starts all replicas of a deployment and changes the faults of some of them', async () => {
    const fleet = await ReplicaFleet.start({
      deployments: [TAWE],
      host: HOST,
      seed: 1,
      networkDelayMs: () => 0,
    });
    closers.push(() => fleet.close());
    const changed = await fleet.setFaults(({ service }) => service === 'ledger-desk', {
      dead: true,
    });
    expect(changed).toBe(4);
    const objects = buildInitialObjects([TAWE], fleet.addressOf);
    const ports = objects.flatMap(({ content }) =>
      content.type === 'status' ? content.status.replicas.map(({ port }) => port) : [],
    );
    expect(new Set(ports).size).toBe(47);
    expect(FIRST_SNAPSHOT).toBe(1);
  });
});

describe('platform server', () => {
  it('writes by compare-and-set', async () => {
    const { base } = await startPlatform();
    expect(await (await put(base, 0)).json()).toEqual({ version: 1, revision: 1 });
    const refused = await put(base, 0);
    expect(refused.status).toBe(409);
    expect(await refused.json()).toEqual({ version: 1 });
    const read = await fetch(`${base}/v1/objects/${encodeURIComponent('keys/tawe')}`);
    expect(await read.json()).toMatchObject({ name: 'keys/tawe', version: 1, revision: 1 });
    expect((await fetch(`${base}/v1/objects/none`)).status).toBe(404);
  });

  it('sends changes to a watch when they are written', async () => {
    const { base } = await startPlatform();
    const watch = await fetch(`${base}/v1/watch?after=0`);
    const lines = readLines(watch);
    expect((await lines.next()).value).toEqual({ after: 0, through: 0, objects: [] });
    await put(base, 0);
    expect((await lines.next()).value).toMatchObject({
      after: 0,
      through: 1,
      objects: [{ name: 'keys/tawe' }],
    });
    await lines.return(undefined);
  });

  it('drops the answer of a write that took effect', async () => {
    const { server, base } = await startPlatform();
    server.setFaults({ loseAnswerShare: 1 });
    await expect(put(base, 0)).rejects.toThrow();
    expect(server.model.read('keys/tawe')?.version).toBe(1);
  });

  it('closes connections and ends watches while it is down', async () => {
    const { base } = await startPlatform();
    const lines = readLines(await fetch(`${base}/v1/watch?after=0`));
    await lines.next();
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"down":true}' });
    await expect(lines.next()).rejects.toThrow();
    await expect(fetch(`${base}/v1/objects`)).rejects.toThrow();
    await fetch(`${base}/v1/faults`, { method: 'POST', body: '{"down":false}' });
    expect(await (await fetch(`${base}/v1/objects`)).json()).toEqual({ revision: 0, objects: [] });
  });

  it('sends a lower revision to watches after a rollback', async () => {
    const { server, base } = await startPlatform();
    await put(base, 0);
    await put(base, 1);
    const lines = readLines(await fetch(`${base}/v1/watch?after=2`));
    await lines.next();
    server.setFaults({ rollBackTo: 1 });
    expect((await lines.next()).value).toEqual({ after: 2, through: 1, objects: [] });
    await lines.return(undefined);
  });
});
