import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

/** Well before a caller's timeout of 2 s; exact times are checked in virtual time. */
const BEFORE_DEADLINE_MS = 1_200;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
});

const single = (fields: Readonly<Record<string, unknown>> = {}): unknown =>
  routeSpec({ path_prefix: '/one/', service: 'desk', ...fields });

const gather = (fields: Readonly<Record<string, unknown>> = {}): unknown =>
  routeSpec({
    path_prefix: '/all/',
    gather: ['shard-a', 'shard-b', 'shard-c', 'shard-d'],
    top_k: 3,
    min_coverage: 0.75,
    ...fields,
  });

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d'];

const serveGather = async (fields: Readonly<Record<string, unknown>> = {}): Promise<void> => {
  fixture.configure([gather(fields)], SHARDS);
  for (const shard of SHARDS) {
    await fixture.addReplica(`${shard}-1`, shard);
  }
};

describe('routes', () => {
  it('forward method, path, query, headers and body unchanged, with the remaining time', async () => {
    fixture.configure([single({ kind: 'unsafe' })], ['desk']);
    const replica = await fixture.addReplica('desk-1', 'desk');
    await fixture.serve();
    const answer = await fixture.request({
      id: 'r-1',
      path: '/one/a%2Fb?x=1&y=%20',
      method: 'POST',
      body: 'a booking',
      headers: { 'x-own': 'kept', connection: 'close, x-hop', 'x-hop': 'dropped' },
    });
    expect(answer.status).toBe(200);
    expect(answer.headers['x-server-stamp']).toBe('desk-1.1');
    const [arrived] = replica.arrived;
    expect(arrived).toMatchObject({ id: 'r-1', method: 'POST', path: '/one/a%2Fb?x=1&y=%20' });
    expect(arrived?.body).toBe('a booking');
    expect(arrived?.headers).toMatchObject({ host: 'shop.example', 'x-own': 'kept' });
    expect(arrived?.headers['x-hop']).toBeUndefined();
    expect(Number(arrived?.headers['x-time-budget-ms'])).toBeLessThan(2_000);
  });

  it('are chosen by host and longest prefix, and a request without a route gets 404', async () => {
    const deep = routeSpec({ path_prefix: '/one/deep/', service: 'deep' });
    fixture.configure([single(), deep], ['desk', 'deep']);
    await fixture.addReplica('desk-1', 'desk');
    await fixture.addReplica('deep-1', 'deep');
    await fixture.serve();
    const stampOf = async (path: string): Promise<unknown> =>
      (await fixture.request({ id: path, path })).headers['x-server-stamp'];
    expect(await stampOf('/one/deep/x')).toBe('deep-1.1');
    expect(await stampOf('/one/deeper')).toBe('desk-1.1');
    expect((await fixture.request({ id: 'r-3', path: '/two/' })).status).toBe(404);
    expect((await fixture.request({ id: 'r-4', path: '/one/', host: 'else.example' })).status).toBe(
      404,
    );
  });

  it('divide requests by the weights of a split', async () => {
    const split = [
      { service: 'desk', weight: 3 },
      { service: 'deep', weight: 1 },
    ];
    fixture.configure([routeSpec({ path_prefix: '/one/', split })], ['desk', 'deep']);
    const desk = await fixture.addReplica('desk-1', 'desk');
    const deep = await fixture.addReplica('deep-1', 'deep');
    await fixture.serve();
    for (let index = 0; index < 40; index += 1) {
      await fixture.request({ id: `r-${index}`, path: '/one/' });
    }
    expect([desk.arrived.length, deep.arrived.length]).toEqual([30, 10]);
  });
});

describe('a request that is not repeatable', () => {
  it('is not retried after its connection was lost', async () => {
    fixture.configure([single({ kind: 'unsafe' })], ['desk']);
    const first = await fixture.addReplica('desk-1', 'desk', { silent: true });
    const second = await fixture.addReplica('desk-2', 'desk', { silent: true });
    await fixture.serve();
    const asked = fixture.request({ id: 'r-1', path: '/one/', method: 'POST', body: 'x' });
    const arrivals = (): number => first.arrived.length + second.arrived.length;
    await until(() => arrivals() === 1, 'the request has arrived');
    first.cutConnections();
    second.cutConnections();
    expect((await asked).status).toBe(502);
    expect(arrivals()).toBe(1);
  });

  it('is sent to another replica when the first one refuses it as not run', async () => {
    fixture.configure([single({ kind: 'unsafe' })], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { slots: 0 });
    await fixture.addReplica('desk-2', 'desk', {}, 'hall');
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/', method: 'POST', body: 'x' });
    expect(answer.headers['x-server-stamp']).toBe('desk-2.1');
  });

  it('is refused at once with a retry delay when no replica accepts it', async () => {
    fixture.configure([single({ kind: 'unsafe' })], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { slots: 0 });
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/', method: 'POST', body: 'x' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(answer.elapsedMs).toBeLessThan(BEFORE_DEADLINE_MS);
  });
});

describe('a connection to a replica', () => {
  it.each([
    ['GET', 'a body'],
    ['DELETE', 'a body'],
    ['HEAD', ''],
  ])('serves requests in succession, also %s with the body "%s"', async (method, body) => {
    fixture.configure([single()], ['desk']);
    const replica = await fixture.addReplica('desk-1', 'desk');
    await fixture.serve();
    const headers = { 'content-length': String(body.length) };
    for (let request = 0; request < 10; request += 1) {
      const query = { id: `r-${request}`, path: '/one/', method, body, headers };
      expect((await fixture.request(query)).status).toBe(200);
    }
    expect(replica.arrived.map((arrived) => arrived.body)).toEqual(Array(10).fill(body));
    expect(replica.connections).toBe(1);
  });
});

describe('a repeatable request', () => {
  it('is not refused as not run after a replica ran it and reset the connection', async () => {
    fixture.configure([single({ max_attempts: 1 })], ['desk']);
    const replica = await fixture.addReplica('desk-1', 'desk', { losesAnswers: true });
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(replica.arrived.map(({ id }) => id)).toContain('r-1');
    expect([408, 421, 429, 503]).not.toContain(answer.status);
  });
});

describe('an address in use by another replica', () => {
  it('runs nothing: the request is sent to a third replica', async () => {
    fixture.configure([single()], ['desk']);
    const other = await fixture.addReplica('desk-2', 'desk');
    fixture.store.put('servers', 'desk-1', other.entry('desk', 'bole'));
    fixture.store.remove('servers', 'desk-2');
    await fixture.addReplica('desk-3', 'desk', {}, 'hall');
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(answer.headers['x-server-stamp']).toBe('desk-3.1');
    expect(other.arrived).toHaveLength(0);
  });
});

describe('a failing replica', () => {
  it('has its failure passed on with its signature when no replica succeeds', async () => {
    fixture.configure([single()], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { status: 500 });
    await fixture.addReplica('desk-2', 'desk', { status: 500 });
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(answer.status).toBe(500);
    expect(answer.headers['x-server-stamp']).toMatch(/^desk-/);
  });

  it.each([302, 404])(
    'that answers %i unsigned is not passed on: another replica gets the request',
    async (status) => {
      fixture.configure([single()], ['desk']);
      await fixture.addReplica('desk-1', 'desk', { status, signed: false });
      await fixture.addReplica('desk-2', 'desk', {}, 'hall');
      await fixture.serve();
      const answer = await fixture.request({ id: 'r-1', path: '/one/' });
      expect(answer.headers['x-server-stamp']).toBe('desk-2.1');
    },
  );

  it('that answers 404 unsigned leads to 502 without a retry when the request is not repeatable', async () => {
    fixture.configure([single({ kind: 'unsafe' })], ['desk']);
    const replica = await fixture.addReplica('desk-1', 'desk', { status: 404, signed: false });
    await fixture.addReplica('desk-2', 'desk', {}, 'hall');
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/', method: 'POST', body: 'x' });
    expect(answer.status).toBe(502);
    expect(replica.arrived).toHaveLength(1);
    expect(fixture.replicas.get('desk-2')?.arrived).toHaveLength(0);
  });

  it('that answers 404 signed has its answer passed on', async () => {
    fixture.configure([single()], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { status: 404 });
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(answer.status).toBe(404);
    expect(answer.headers['x-server-stamp']).toBe('desk-1.1');
  });

  it('that is silent is hedged by another replica', async () => {
    fixture.configure([single({ target_ms: 200 })], ['desk']);
    await fixture.addReplica('desk-1', 'desk', { silent: true });
    await fixture.addReplica('desk-2', 'desk', {}, 'hall');
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(answer.headers['x-server-stamp']).toBe('desk-2.1');
    expect(answer.elapsedMs).toBeLessThan(BEFORE_DEADLINE_MS);
  });
});

describe('a gather', () => {
  it('merges the parts of all shards', async () => {
    await serveGather();
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/all/' });
    expect(answer.status).toBe(200);
    expect(String(answer.headers['x-part-stamps']).split(', ')).toHaveLength(4);
    expect(answer.headers['x-missing-parts']).toBe('0');
    expect(answer.body.toString()).toBe('shard-d-1.......shard-c-1.......shard-b-1.......');
  });

  it('is answered before its objective without a silent shard', async () => {
    await serveGather({ target_ms: 400 });
    const silent = fixture.replicas.get('shard-b-1');
    if (silent !== undefined) {
      silent.behaviour.silent = true;
    }
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/all/' });
    expect(answer.headers['x-missing-parts']).toBe('1');
    expect(answer.elapsedMs).toBeLessThan(BEFORE_DEADLINE_MS);
  });

  it('does not succeed below the least coverage', async () => {
    await serveGather({ timeout_ms: 300, target_ms: 200 });
    for (const id of ['shard-a-1', 'shard-b-1']) {
      const replica = fixture.replicas.get(id);
      if (replica !== undefined) {
        replica.behaviour.silent = true;
      }
    }
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/all/' });
    expect(answer.status).toBe(504);
    expect(answer.elapsedMs).toBeLessThan(BEFORE_DEADLINE_MS);
  });

  it('does not accept a signed failure of a replica as a part', async () => {
    await serveGather();
    const failing = fixture.replicas.get('shard-c-1');
    if (failing !== undefined) {
      failing.behaviour.status = 500;
    }
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/all/' });
    expect(answer.status).toBe(200);
    expect(answer.headers['x-missing-parts']).toBe('1');
    expect(answer.headers['x-part-stamps']).not.toContain('shard-c-1');
  });

  it('uses the shards of one version while another comes into force', async () => {
    await serveGather();
    fixture.replicas.forEach((replica) => (replica.behaviour.workMs = 150));
    await fixture.serve();
    const asked = fixture.request({ id: 'r-1', path: '/all/' });
    await delay(50);
    await fixture.addReplica('next-1', 'next');
    await fixture.untilInForce(fixture.configure([gather({ gather: ['next'] })], ['next']));
    const [before, after] = [await asked, await fixture.request({ id: 'r-2', path: '/all/' })];
    expect(String(before.headers['x-part-stamps']).split(', ')).toHaveLength(4);
    expect(before.headers['x-part-stamps']).not.toContain('next');
    expect(after.headers['x-part-stamps']).toBe('next-1.1');
  });
});

describe('a caller that leaves', () => {
  it('has its request cancelled at the replicas', async () => {
    fixture.configure([single()], ['desk']);
    const replica = await fixture.addReplica('desk-1', 'desk', { workMs: 1_000 });
    await fixture.serve();
    const leaving = new AbortController();
    const asked = fixture.request({ id: 'r-1', path: '/one/', signal: leaving.signal });
    const refused = expect(asked).rejects.toThrow();
    await until(() => replica.arrived.length === 1, 'the request has arrived');
    leaving.abort();
    await refused;
    await until(() => replica.arrived[0]?.left === true, 'the replica has seen the end');
    expect(fixture.gateway.state.requests.size).toBe(0);
  });
});

describe('draining replicas', () => {
  it('get no requests once the drain is known', async () => {
    fixture.configure([single()], ['desk']);
    const draining = await fixture.addReplica('desk-1', 'desk');
    await fixture.addReplica('desk-2', 'desk', {}, 'hall');
    await fixture.serve();
    fixture.store.put('servers', 'desk-1', draining.entry('desk', 'bole', 'draining'));
    const known = fixture.gateway.state.replicas;
    await until(() => known.find('desk-1')?.record.draining === true, 'the drain is known');
    const answer = await fixture.request({ id: 'r-1', path: '/one/' });
    expect(answer.headers['x-server-stamp']).toBe('desk-2.1');
  });
});
