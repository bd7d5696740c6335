import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

const EVACUATION_MS = 3_000;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  const { settings } = fixture;
  fixture.settings = {
    ...settings,
    bounds: { ...settings.bounds, evacuationMs: EVACUATION_MS },
  };
  const routes = [
    routeSpec({ path_prefix: '/desk/', service: 'desk' }),
    routeSpec({ path_prefix: '/far/', service: 'desk', allowed_regions: ['wales'] }),
  ];
  fixture.configure(routes, ['desk']);
  await fixture.addReplica('desk-1', 'desk');
  await fixture.serve();
});

afterEach(async () => {
  await fixture.stop();
});

const statusOf = async (path: string): Promise<number> =>
  (await fixture.request({ id: `${path}-${Math.random()}`, path })).status;

const knowsEvacuation = (isEvacuated: boolean): Promise<void> =>
  until(
    () => fixture.gateway.state.evacuatedZones.has('bole') === isEvacuated,
    `the zone ${isEvacuated ? 'is' : 'is no longer'} evacuated`,
  );

describe('an evacuation in the store', () => {
  it('closes a zone until the order is removed', async () => {
    expect(await statusOf('/desk/')).toBe(200);
    fixture.store.put('evacuations', 'bole', {});
    await knowsEvacuation(true);
    expect(await statusOf('/desk/')).toBe(503);
    fixture.store.remove('evacuations', 'bole');
    await knowsEvacuation(false);
    expect(await statusOf('/desk/')).toBe(200);
  });

  it('is known to a gateway that starts later, before it serves', async () => {
    fixture.store.put('evacuations', 'bole', {});
    fixture.gateway.kill();
    await fixture.startGateway();
    await until(() => fixture.gateway.state.ready, 'the gateway is ready');
    expect(await statusOf('/desk/')).toBe(503);
  });
});

describe('the allowed regions of a route', () => {
  it('are read from the configuration, and a request is refused if no replica is in them', async () => {
    const answer = await fixture.request({ id: 'far', path: '/far/' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });
});
