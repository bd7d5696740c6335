/** Requests beside replicas and routes with values that no header and no timer can have. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

const REQUESTS = 40;

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
});

describe('requests that may run once', () => {
  // The client refused the header with the name, so that more than half of the requests failed without reaching a replica.
  it.each([
    ['a letter outside of Latin-1', 'i-\u03a9'],
    ['a line end', 'i\r\nodd'],
    ['half a letter', 'i-\ud800'],
    ['twenty thousand characters', 'i'.repeat(20_000)],
  ])('are served beside a replica whose name has %s', async (_what, name) => {
    const route = routeSpec({ path_prefix: '/', service: 'desk', kind: 'unsafe' });
    fixture.configure([route], ['desk']);
    await fixture.addReplica(name, 'desk');
    await fixture.addReplica('whole', 'desk');
    await fixture.serve();
    const statuses: number[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      statuses.push((await fixture.request({ id: `r-${index}`, path: '/x' })).status);
    }
    expect(statuses.filter((status) => status !== 200)).toEqual([]);
  });
});

describe('requests with timeouts beyond those of timers', () => {
  // A timer of more than 2,147,483,647 ms fires at once, so that attempts ended before any answer.
  it.each([2_147_483_647, 2_147_483_648, 1e12])('are served: %d ms', async (timeoutMs) => {
    const limits = { header_timeout_ms: timeoutMs, idle_timeout_ms: timeoutMs };
    const route = routeSpec({ path_prefix: '/', service: 'desk', timeout_ms: timeoutMs });
    fixture.configure([route], ['desk'], 26, limits);
    await fixture.addReplica('whole', 'desk', { workMs: 100 });
    await fixture.serve();
    const answer = await fixture.request({ id: 'r-1', path: '/x', budgetMs: timeoutMs });
    expect(answer.status).toBe(200);
  });
});
