import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
});

afterEach(async () => {
  await fixture.stop();
});

const moved = (): unknown => routeSpec({ path_prefix: '/moved/', service: 'desk' });

/** The content of the store's entry for a configuration with one route. */
const specOf = (version: number, route: unknown): unknown => ({
  version,
  routes: [route],
  services: [],
  limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
});

const statusOf = async (path: string): Promise<number> =>
  (await fixture.request({ id: path, path })).status;

describe('the configuration', () => {
  it('is required before the gateway is ready; until then requests are refused only temporarily', async () => {
    fixture.store.mode = 'busy';
    await fixture.startGateway();
    expect(await statusOf('/one/')).toBe(503);
    expect(fixture.gateway.state.ready).toBe(false);
    fixture.store.mode = 'serving';
    await until(() => fixture.gateway.state.ready, 'the gateway is ready');
    expect(await statusOf('/one/')).toBe(200);
  });

  it('comes into force after the store has discarded its history', async () => {
    await fixture.serve();
    fixture.store.discardHistory();
    await fixture.untilInForce(fixture.configure([moved()], ['desk']));
    expect(await statusOf('/moved/')).toBe(200);
    expect(await statusOf('/one/')).toBe(404);
  });

  it('comes into force after the store was restored from a backup and lost acknowledged writes', async () => {
    fixture.store.era = 1;
    const backup = fixture.store.backup();
    await fixture.serve();
    const lost = fixture.configure([moved()], ['desk']);
    await fixture.untilInForce(lost);
    fixture.store.mode = 'resetting';
    fixture.store.cutConnections();
    await until(() => !fixture.gateway.state.store.reachable, 'the loss of the store is detected');
    fixture.store.restore(backup);
    fixture.store.mode = 'serving';
    const version = fixture.configure(
      [moved(), routeSpec({ path_prefix: '/new/', service: 'desk' })],
      ['desk'],
    );
    await fixture.untilInForce(version);
    expect(await statusOf('/moved/')).toBe(200);
    expect(await statusOf('/new/')).toBe(200);
    expect(fixture.gateway.state.store.era).toBe(2);
  });

  it.each(['silent', 'busy', 'throttling', 'resetting'] as const)(
    'comes into force after the store was %s and its connections were lost',
    async (mode) => {
      await fixture.serve();
      fixture.store.mode = mode;
      fixture.store.cutConnections();
      await until(
        () => !fixture.gateway.state.store.reachable,
        'the loss of the store is detected',
      );
      expect(await statusOf('/one/')).toBe(200);
      const version = fixture.configure([moved()], ['desk']);
      fixture.store.mode = 'serving';
      await fixture.untilInForce(version);
      expect(await statusOf('/moved/')).toBe(200);
    },
  );

  it('leaves the last valid version in force if its entry cannot be decoded', async () => {
    await fixture.serve();
    fixture.store.put('config', 'main', { version: 1_000, routes: 'none' });
    await fixture.addReplica('desk-2', 'desk');
    await until(() => fixture.gateway.state.replicas.size === 2, 'later changes are read');
    expect(await statusOf('/one/')).toBe(200);
    await fixture.untilInForce(fixture.configure([moved()], ['desk']));
  });

  it('is read only from the object `main`: others of its kind never come into force', async () => {
    fixture.store.put('config', 'draft', specOf(2_000, moved()));
    await fixture.serve();
    expect(await statusOf('/one/')).toBe(200);
    fixture.store.put('config', 'next', specOf(3_000, moved()));
    await fixture.addReplica('desk-2', 'desk');
    await until(() => fixture.gateway.state.replicas.size === 2, 'later changes are read');
    expect(await statusOf('/one/')).toBe(200);
    await fixture.untilInForce(fixture.configure([moved()], ['desk']));
  });

  it('never reverts to an older version', async () => {
    await fixture.serve();
    const version = fixture.configure([moved()], ['desk']);
    await fixture.untilInForce(version);
    const older = specOf(version - 1, routeSpec({ path_prefix: '/one/', service: 'desk' }));
    fixture.store.put('config', 'main', older);
    await fixture.addReplica('desk-2', 'desk');
    await until(() => fixture.gateway.state.replicas.size === 2, 'later changes are read');
    expect(await statusOf('/moved/')).toBe(200);
  });
});

describe('the count of gateways', () => {
  it('includes those that have registered in the store', async () => {
    fixture.store.put('gateways', 'front-2', { zone: 'arada' });
    fixture.store.put('gateways', 'front-3', { zone: 'arada' });
    await fixture.serve();
    await until(() => fixture.gateway.state.gateways === 3, 'all three are counted');
  });
});

describe('a stop', () => {
  it('ends readiness immediately, finishes requests in progress and ends the process', async () => {
    await fixture.addReplica('slow-1', 'slow', { workMs: 400 });
    const slow = routeSpec({ path_prefix: '/slow/', service: 'slow' });
    await fixture.serve();
    await fixture.untilInForce(fixture.configure([slow], ['slow']));
    const asked = fixture.request({ id: 'r-1', path: '/slow/' });
    await until(() => fixture.replicas.get('slow-1')?.arrived.length === 1, 'it has arrived');
    fixture.gateway.stop();
    const { host, port } = fixture.settings.readiness;
    const ready = await fetch(`http://${host}:${port}/v1/ready`);
    expect(ready.status).toBe(503);
    const late = await fixture.request({ id: 'r-2', path: '/slow/' });
    expect([(await asked).status, late.status]).toEqual([200, 200]);
    expect(late.headers.connection).toBe('close');
    await fixture.gateway.ended;
  });
});
