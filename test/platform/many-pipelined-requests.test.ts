import { expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

const REQUESTS = 400;

/** More than the requests that are in progress before reading pauses, and those in the two segments that are read by then. */
const MOST_IN_PROGRESS = 200;

// All requests that a caller had sent on one connection were in progress at once: some 20,000 ended a gateway out of memory.
it('requests that follow on a connection are read only as earlier ones are answered', async () => {
  const fixture = await GatewayFixture.create();
  const route = { path_prefix: '/one/', service: 'desk', kind: 'unsafe', timeout_ms: 15_000 };
  fixture.configure([routeSpec(route)], ['desk']);
  await fixture.addReplica('desk-1', 'desk', { workMs: 10 });
  await fixture.serve();
  const caller = await RawCaller.open(fixture.settings.callers);
  caller.send(requestHead('GET /one/x', [`X-Padding: ${'p'.repeat(2_000)}`]).repeat(REQUESTS));
  let most = 0;
  await until(() => {
    most = Math.max(most, fixture.gateway.state.requests.size);
    return fixture.replicas.get('desk-1')?.arrived.length === REQUESTS;
  }, 'all requests have arrived');
  expect(await caller.statuses(REQUESTS)).toEqual(Array.from({ length: REQUESTS }, () => 200));
  expect(most).toBeLessThan(MOST_IN_PROGRESS);
  caller.close();
  await fixture.stop();
});
