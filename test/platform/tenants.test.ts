/** Guards against keys and forged tenant names that reach replicas, and against requests that run without a valid key. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { feederPlan } from '../../src/gateway/peers/service-share.js';
import { keyDigestOf } from '../../src/gateway/runtime/key-digest.js';
import type { RunningGateway } from '../../src/gateway/runtime/start-gateway.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec, tenantSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';
import type { ArrivedRequest, ReplicaBehaviour, StandInReplica } from './stand-in-replica.js';

const KEY = 'secret-key-of-bulk';
const OTHER_KEY = 'secret-key-of-desk';
const SECOND_KEY = 'second-secret-key-of-bulk';

const TENANTS = [tenantSpec('bulk', [KEY, SECOND_KEY]), tenantSpec('desk', [OTHER_KEY])];

const KEYED_ROUTE = routeSpec({ path_prefix: '/one/', service: 'desk', target_ms: 100 });
const OPEN_ROUTE = routeSpec({ path_prefix: '/open/', service: 'desk', anonymous: true });
const ROUTES = [KEYED_ROUTE, OPEN_ROUTE];

let fixture: GatewayFixture;
/** All requests that reached a replica, also those that it refused. */
let arrived: ArrivedRequest[];

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  arrived = [];
});

afterEach(async () => {
  await fixture.stop();
});

const addReplica = async (
  id: string,
  service: string,
  behaviour: Partial<ReplicaBehaviour> = {},
): Promise<StandInReplica> => {
  const replica = await fixture.addReplica(id, service, behaviour);
  replica.observer = {
    arrived: (request) => arrived.push(request),
    read: () => undefined,
    answered: () => undefined,
    ended: () => undefined,
  };
  return replica;
};

const configure = (
  tenants: unknown,
  routes = ROUTES,
  services = ['desk'],
  maxConnections = 26,
): number => fixture.configure(routes, services, maxConnections, {}, tenants);

/** The callers named in the requests at the replicas; the requests must carry no key. */
const callers = (): readonly unknown[] => {
  arrived.forEach(({ headers }) => expect(JSON.stringify(headers)).not.toContain('secret'));
  return arrived.map(({ headers }) => headers['x-tenant']);
};

const statusWith = async (headers: Readonly<Record<string, string>>, path = '/one/x') => {
  const id = `r-${Math.random()}`;
  return (await fixture.request({ id, path, headers })).status;
};

const expectSecretsUnlogged = (): void => {
  const logged = JSON.stringify([fixture.log.lines, fixture.log.traces]);
  expect(logged).not.toContain('secret');
  [KEY, OTHER_KEY, SECOND_KEY, 'secret-of-nobody'].forEach((key) =>
    expect(logged).not.toContain(keyDigestOf(key)),
  );
};

describe('a request to a gateway with tenants, over sockets', () => {
  beforeEach(async () => {
    configure(TENANTS);
    await addReplica('desk-1', 'desk');
    await fixture.serve();
  });

  it.each<readonly [string, Readonly<Record<string, string>>]>([
    ['no key', {}],
    ['an empty key', { 'Api-Key': '' }],
    ['a key of nobody', { 'Api-Key': 'secret-of-nobody' }],
    ['a key of 10 KB', { 'Api-Key': 'secret'.repeat(1_700) }],
    ['a key in another case', { 'Api-Key': KEY.toUpperCase() }],
    ['two keys in one header', { 'Api-Key': `${KEY}, ${KEY}` }],
    ['a digest in place of the key', { 'Api-Key': keyDigestOf(KEY) }],
    ['a tenant name without a key', { 'X-Tenant': 'bulk' }],
  ])('gets 401 and reaches no replica with %s', async (_case, headers) => {
    const answer = await fixture.request({ id: 'r-1', path: '/one/x', headers });
    const reason = JSON.parse(answer.body.toString()).error as string;
    expect(answer.status).toBe(401);
    expect(['key-missing', 'key-unknown']).toContain(reason);
    expect(arrived).toEqual([]);
    const { text } = await fixture.readMetrics();
    expect(text).toContain(`crossroad_gateway_requests_total{route="",outcome="${reason}"} 1`);
    expectSecretsUnlogged();
  });

  it('carries the tenant that holds the key, whatever the caller sent as tenant', async () => {
    expect(await statusWith({ 'Api-Key': KEY })).toBe(200);
    expect(await statusWith({ 'API-KEY': SECOND_KEY, 'X-Tenant': 'desk' })).toBe(200);
    expect(await statusWith({ 'api-key': OTHER_KEY, 'x-tEnAnT': 'bulk' })).toBe(200);
    expect(callers()).toEqual(['bulk', 'bulk', 'desk']);
    expectSecretsUnlogged();
  });

  it('may repeat the key, and replaces every tenant header of the caller', async () => {
    const caller = await RawCaller.open(fixture.settings.callers);
    const tenantHeaders = ['X-Tenant: desk', 'x-tenant: other', 'Connection: x-tenant'];
    caller.send(
      requestHead('GET /one/x', [`Api-Key: ${KEY}`, ...tenantHeaders, `API-KEY: ${KEY}`]),
    );
    expect(await caller.statuses(1)).toEqual([200]);
    caller.close();
    expect(callers()).toEqual(['bulk']);
  });

  it('gets 401 with different keys, also if one tenant holds both', async () => {
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(requestHead('GET /one/x', [`Api-Key: ${KEY}`, `Api-Key: ${SECOND_KEY}`]));
    caller.send(requestHead('GET /one/x', [`Api-Key: ${KEY}`, 'Api-Key: ']));
    expect(await caller.statuses(2)).toEqual([401, 401]);
    caller.close();
    expect(arrived).toEqual([]);
  });

  it('is passed on with neither header on an anonymous route', async () => {
    const forged = { 'X-Tenant': 'bulk' };
    expect(await statusWith({}, '/open/x')).toBe(200);
    expect(await statusWith({ ...forged, 'Api-Key': KEY }, '/open/x')).toBe(200);
    expect(await statusWith({ ...forged, 'Api-Key': 'secret-of-nobody' }, '/open/x')).toBe(200);
    expect(callers()).toEqual([undefined, undefined, undefined]);
  });

  it('goes by the version in force when keys move, are removed and are added', async () => {
    const moved = [tenantSpec('bulk', ['secret-3']), tenantSpec('desk', [KEY])];
    expect(await statusWith({ 'Api-Key': 'secret-3' })).toBe(401);
    await fixture.untilInForce(configure(moved));
    expect(await statusWith({ 'Api-Key': KEY })).toBe(200);
    expect(await statusWith({ 'Api-Key': 'secret-3' })).toBe(200);
    expect(await statusWith({ 'Api-Key': SECOND_KEY })).toBe(401);
    expect(callers()).toEqual(['desk', 'bulk']);
  });

  it('goes by the last good version when a malformed one is written', async () => {
    configure([tenantSpec('bulk', ['secret-3']), tenantSpec('desk', ['secret-3'])]);
    const isUnreadable = ({ change }: (typeof fixture.log.lines)[number]): boolean =>
      change.event === 'object-unreadable';
    await until(() => fixture.log.lines.some(isUnreadable), 'the version is refused');
    expect(fixture.log.lines.find(isUnreadable)?.change).toMatchObject({
      problem: expect.stringContaining('config/main.tenants[1].api_keys[0]') as string,
    });
    expect(await statusWith({ 'Api-Key': 'secret-3' })).toBe(401);
    expect(await statusWith({ 'Api-Key': KEY })).toBe(200);
    expectSecretsUnlogged();
  });

  it('is found among thousands of keys', async () => {
    const many = Array.from({ length: 5_000 }, (_, index) =>
      tenantSpec(`t${index}`, [`secret-${index}-a`, `secret-${index}-b`]),
    );
    await fixture.untilInForce(configure(many));
    expect(await statusWith({ 'Api-Key': 'secret-4999-b' })).toBe(200);
    expect(await statusWith({ 'Api-Key': 'secret-5000-b' })).toBe(401);
    expect(callers()).toEqual(['t4999']);
  });

  it('names a tenant in UTF-8', async () => {
    await fixture.untilInForce(configure([tenantSpec('bülk 名', [KEY])]));
    expect(await statusWith({ 'Api-Key': KEY })).toBe(200);
    const [name] = callers();
    expect(Buffer.from(String(name), 'latin1').toString('utf8')).toBe('bülk 名');
  });
});

describe('further attempts of a request with a key', () => {
  it('carry the tenant and no key when replicas refuse or lose the first ones', async () => {
    configure(TENANTS);
    await addReplica('desk-1', 'desk', { slots: 0 });
    await addReplica('desk-2', 'desk', { losesAnswers: true });
    await fixture.serve();
    await statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' });
    expect(arrived.length).toBeGreaterThan(1);
    expect(new Set(callers())).toEqual(new Set(['bulk']));
  });

  it('carry the tenant and no key when they are hedges', async () => {
    configure(TENANTS);
    await addReplica('desk-1', 'desk', { silent: true });
    await addReplica('desk-2', 'desk', { silent: true });
    await fixture.serve();
    await statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' });
    expect(new Set(arrived.map(({ id }) => id)).size).toBe(1);
    expect(callers()).toEqual(['bulk', 'bulk']);
  });
});

describe('a request before the gateway is ready', () => {
  it('gets no 401 with a valid key, and reaches a replica without it', async () => {
    configure(TENANTS);
    await addReplica('desk-1', 'desk');
    await fixture.startGateway();
    const statuses = await Promise.all(
      Array.from({ length: 8 }, () => statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' })),
    );
    expect(statuses).not.toContain(401);
    expect(new Set(callers())).toEqual(new Set(['bulk']));
  });

  it('gets 503 rather than 401 while there is no configuration', async () => {
    await fixture.startGateway();
    expect(await statusWith({})).toBe(503);
    expect(await statusWith({ 'Api-Key': 'secret-of-nobody' })).toBe(503);
  });
});

describe('a request to a gateway without tenants', () => {
  it('is passed on with its key and its tenant header, as the caller sent them', async () => {
    configure(undefined);
    await addReplica('desk-1', 'desk');
    await fixture.serve();
    expect(await statusWith({ 'Api-Key': 'a', 'X-Tenant': 'b', Authorization: 'c' })).toBe(200);
    expect(await statusWith({})).toBe(200);
    expect(arrived.map(({ headers }) => headers)).toMatchObject([
      { 'api-key': 'a', 'x-tenant': 'b', authorization: 'c' },
      {},
    ]);
    expect(arrived[1]?.headers).not.toHaveProperty('x-tenant');
  });
});

describe('a gather with a key, over feeders', () => {
  const SHARDS = Array.from({ length: 12 }, (_, index) => `shard-${index}`);
  const FEEDERS = ['front-2', 'front-3', 'front-4'];
  const FEEDER_CAPACITY = 8;
  /** Too few for all gateways, so that gathers go through feeders. */
  const MAX_CONNECTIONS = 4;
  let feeders: RunningGateway[];

  const gather = (prefix: string, fields: Readonly<Record<string, unknown>> = {}): unknown =>
    routeSpec({
      path_prefix: prefix,
      gather: SHARDS,
      top_k: 3,
      min_coverage: 0.75,
      target_ms: 800,
      ...fields,
    });

  beforeEach(async () => {
    configure(
      TENANTS,
      [gather('/all/'), gather('/free/', { anonymous: true })],
      SHARDS,
      MAX_CONNECTIONS,
    );
    for (const shard of SHARDS) {
      await addReplica(`${shard}-1`, shard, { workMs: 60, body: Buffer.alloc(16, 1) });
      await addReplica(`${shard}-2`, shard, { workMs: 60, body: Buffer.alloc(16, 1) });
    }
    feeders = await Promise.all(FEEDERS.map((node) => fixture.startPeer(node, FEEDER_CAPACITY)));
    await fixture.serve();
    await until(() => fixture.gateway.state.peers.size === 4, 'all gateways are listed');
    const isSettled = ({ state }: RunningGateway): boolean => state.gatewaysSettled;
    await until(() => [fixture.gateway, ...feeders].every(isSettled), 'the lists are settled');
  }, 20_000);

  /** Subqueries that the coordinator has sent; feeders also count warm-up subqueries. */
  const subqueriesSent = (): number =>
    fixture.gateway.state.counters.subqueries
      .values()
      .filter(({ labels }) => labels['step'] === 'sent')
      .reduce((sum, { value }) => sum + value, 0);

  it('carries the tenant and no key to the replicas of the feeders', async () => {
    expect(await statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' }, '/all/x')).toBe(200);
    expect(subqueriesSent()).toBeGreaterThan(0);
    expect(arrived.length).toBeGreaterThanOrEqual(SHARDS.length);
    expect(new Set(callers())).toEqual(new Set(['bulk']));
  });

  it('carries them again after a feeder was killed while it ran the request', async () => {
    const [first] = feederPlan(fixture.gateway.state).feeders.filter(({ name }) =>
      FEEDERS.includes(name),
    );
    const status = statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' }, '/all/x');
    await until(() => arrived.length >= SHARDS.length, 'all shards have been sent');
    feeders[FEEDERS.indexOf(first?.name ?? '')]?.kill();
    expect(await status).toBe(200);
    expect(arrived.length).toBeGreaterThan(SHARDS.length);
    expect(new Set(callers())).toEqual(new Set(['bulk']));
  });

  it('carries neither header on an anonymous route, and the fingerprint of its coordinator', async () => {
    const status = statusWith({ 'Api-Key': KEY, 'X-Tenant': 'desk' }, '/free/x');
    await until(() => arrived.length >= SHARDS.length, 'all shards have been sent');
    const fingerprints = [fixture.gateway, ...feeders].flatMap(({ state }) =>
      [...state.requests.values()].map(({ request }) => request.fingerprint),
    );
    expect(fingerprints.length).toBeGreaterThan(1);
    expect(new Set(fingerprints).size).toBe(1);
    expect(await status).toBe(200);
    expect(new Set(callers())).toEqual(new Set([undefined]));
  });

  it('gets 401 without a valid key, and no feeder is asked', async () => {
    expect(await statusWith({ 'Api-Key': 'secret-of-nobody' }, '/all/x')).toBe(401);
    expect(await statusWith({}, '/all/x')).toBe(401);
    expect(subqueriesSent()).toBe(0);
    expect(arrived).toEqual([]);
  });

  it('knows the same tenants at every gateway, whether it reads the store or follows a reader', async () => {
    const version = configure(
      [tenantSpec('moved', [KEY])],
      [gather('/all/')],
      SHARDS,
      MAX_CONNECTIONS,
    );
    const gateways = [fixture.gateway, ...feeders];
    const isInForce = ({ state }: RunningGateway): boolean =>
      state.inForce?.configuration.version === version;
    await until(() => gateways.every(isInForce), 'the version is in force everywhere');
    gateways.forEach(({ state }) =>
      expect(state.inForce?.tenants?.find(keyDigestOf(KEY))?.name).toBe('moved'),
    );
  });
});
