import { expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

// A request for a tunnel closed the connection at once, also while earlier requests were at a replica.
it('a request for a tunnel is refused behind the answers to earlier requests', async () => {
  const fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk', { workMs: 100 });
  await fixture.serve();
  const caller = await RawCaller.open(fixture.settings.callers);
  caller.send(requestHead('GET /one/x') + requestHead('CONNECT shop.example:443'));
  expect(await caller.statuses(2)).toEqual([200, 501]);
  await until(() => caller.isClosed, 'the connection is closed');
  await fixture.stop();
});
