import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

const TEST_TIMEOUT_MS = 20_000;

/** A stop with this grace period answers all requests after a second. */
const SHORT_GRACE_MS = 1_500;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
});

const serveWith = async (graceMs: number, replica: Parameters<GatewayFixture['addReplica']>[2]) => {
  fixture.settings = { ...fixture.settings, bounds: { ...fixture.settings.bounds, graceMs } };
  const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
  fixture.configure([routeSpec(route)], ['desk']);
  await fixture.addReplica('desk-1', 'desk', replica);
  await fixture.serve();
};

const arrivals = (): number => fixture.replicas.get('desk-1')?.arrived.length ?? 0;

describe('a planned stop over sockets', { timeout: TEST_TIMEOUT_MS }, () => {
  // Connections of callers whose requests replicas had begun were closed without an answer.
  it('answers a request that a silent replica still runs', async () => {
    await serveWith(SHORT_GRACE_MS, { silent: true });
    const caller = await RawCaller.open(fixture.settings.callers);
    caller.send(requestHead('POST /one/', ['Content-Length: 0']));
    await until(() => arrivals() === 1, 'the request has arrived');
    fixture.gateway.stop();
    expect(await caller.statuses(1)).toEqual([504]);
    await fixture.gateway.ended;
  });

  // A request that waited for a connection was answered as if a replica might have run it.
  it('tells the caller of a request that waits for a connection that it has not run', async () => {
    fixture.settings = {
      ...fixture.settings,
      bounds: { ...fixture.settings.bounds, graceMs: 1_500 },
    };
    const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
    fixture.configure([routeSpec(route)], ['desk'], 1);
    await fixture.addReplica('desk-1', 'desk', { silent: true });
    await fixture.serve();
    const callers = [];
    for (let index = 0; index < 3; index += 1) {
      const caller = await RawCaller.open(fixture.settings.callers);
      caller.send(requestHead('POST /one/', ['Content-Length: 0']));
      callers.push(caller);
    }
    await until(() => fixture.gateway.state.attempts.size === 3, 'three attempts are in progress');
    const begun = arrivals();
    fixture.gateway.stop();
    const statuses = await Promise.all(callers.map((caller) => caller.statuses(1)));
    expect(statuses.flat().filter((status) => status === 504)).toHaveLength(begun);
    expect(statuses.flat().filter((status) => status === 503)).toHaveLength(3 - begun);
    expect(arrivals()).toBe(begun);
  });
});
