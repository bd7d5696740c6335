import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RunningGateway } from '../../src/gateway/runtime/start-gateway.js';
import { feederPlan } from '../../src/gateway/peers/service-share.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

const SHARDS = Array.from({ length: 12 }, (_, index) => `shard-${index}`);

const record = (byte: number): Buffer => Buffer.alloc(16, byte);

let fixture: GatewayFixture;
let feeders: RunningGateway[];

/**
 * A gateway of low capacity that receives the callers' requests, and three of high capacity. A replica has too few
 * connections for all of them.
 */
beforeEach(async () => {
  fixture = await GatewayFixture.create();
  const route = routeSpec({
    path_prefix: '/all/',
    gather: SHARDS,
    top_k: 3,
    min_coverage: 0.75,
    target_ms: 800,
  });
  fixture.configure([route], SHARDS, 4);
  for (const [index, shard] of SHARDS.entries()) {
    await fixture.addReplica(`${shard}-1`, shard, { body: record(index) });
  }
  feeders = [];
  for (const node of ['front-2', 'front-3', 'front-4']) {
    feeders.push(await fixture.startPeer(node, 8));
  }
  await fixture.serve();
  const isSettled = ({ state }: RunningGateway): boolean => state.gatewaysSettled;
  await until(
    () => [fixture.gateway, ...feeders].every(isSettled),
    'the lists of gateways are settled',
  );
  await until(() => fixture.gateway.state.peers.size === 4, 'the list is complete');
}, 20_000);

afterEach(async () => {
  await fixture.stop();
});

const arrivals = (): readonly number[] =>
  SHARDS.map((shard) => fixture.replicas.get(`${shard}-1`)?.arrived.length ?? 0);

const acceptedSubqueries = ({ state }: RunningGateway): number =>
  state.counters.subqueries
    .values()
    .filter(({ labels }) => labels['step'] === 'taken')
    .reduce((sum, { value }) => sum + value, 0);

describe('a gather over feeders, over sockets', () => {
  it('returns the greatest records of all shards and sends one request to each replica', async () => {
    const acceptedBefore = feeders.map(acceptedSubqueries);
    const answer = await fixture.request({ id: 'r-1', path: '/all/x' });
    expect(answer.status).toBe(200);
    expect(answer.headers['x-missing-parts']).toBe('0');
    expect(String(answer.headers['x-part-stamps']).split(', ')).toHaveLength(SHARDS.length);
    expect(answer.body).toEqual(Buffer.concat([record(11), record(10), record(9)]));
    expect(arrivals()).toEqual(SHARDS.map(() => 1));
    const sent = feeders.map(
      (feeder, index) => acceptedSubqueries(feeder) - (acceptedBefore[index] ?? 0),
    );
    expect(sent.reduce((sum, each) => sum + each)).toBeGreaterThan(1);
  });

  it('is whole right after a feeder was killed', async () => {
    const plan = feederPlan(fixture.gateway.state);
    const [first] = plan.feeders.filter(({ name }) => name !== 'front-1');
    const index = ['front-2', 'front-3', 'front-4'].indexOf(first?.name ?? '');
    feeders[index]?.kill();
    const answer = await fixture.request({ id: 'r-2', path: '/all/x' });
    expect([answer.status, answer.headers['x-missing-parts']]).toEqual([200, '0']);
    expect(arrivals()).toEqual(SHARDS.map(() => 1));
  });

  it('is cancelled at the replicas when the caller has left', async () => {
    fixture.replicas.forEach((replica) => {
      replica.behaviour.silent = true;
    });
    const leaving = new AbortController();
    const asked = fixture.request({ id: 'r-3', path: '/all/x', signal: leaving.signal });
    await until(() => arrivals().every((count) => count > 0), 'all have arrived');
    leaving.abort();
    await expect(asked).rejects.toThrow();
    const hasLeft = (): boolean =>
      [...fixture.replicas.values()].every(({ arrived }) => arrived.every(({ left }) => left));
    await until(hasLeft, 'all connections are closed');
  });
});
