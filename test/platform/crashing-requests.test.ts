import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RunningGateway } from '../../src/gateway/runtime/start-gateway.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import type { StandInReplica } from './stand-in-replica.js';

const SHARDS = ['a', 'b', 'c', 'd'];
const COPIES = [1, 2, 3];
const LETHAL = '/all/lethal';

let fixture: GatewayFixture;
let peers: RunningGateway[];
let crashed: string[];

/** Crashes a replica that receives the lethal path: its connections are reset, and its port is closed. */
const crashOnLethal = (replica: StandInReplica): void => {
  replica.observer = {
    arrived: ({ path }) => {
      if (path === LETHAL) {
        crashed.push(replica.id);
        void replica.stop();
      }
    },
    read: () => undefined,
    answered: () => undefined,
    ended: () => undefined,
  };
};

beforeEach(async () => {
  crashed = [];
  fixture = await GatewayFixture.create();
  const route = { path_prefix: '/all/', gather: SHARDS, top_k: 4, min_coverage: 0.5 };
  fixture.configure([routeSpec(route)], SHARDS, 40);
  for (const shard of SHARDS) {
    for (const copy of COPIES) {
      crashOnLethal(await fixture.addReplica(`${shard}-${copy}`, shard, { workMs: 5 }));
    }
  }
  peers = [await fixture.startPeer('front-2', 1), await fixture.startPeer('front-3', 1)];
  await fixture.serve();
  await until(() => fixture.gateway.state.peers.size === 3, 'all gateways are listed');
}, 20_000);

afterEach(async () => {
  await fixture.stop();
});

const requestFromEach = async (path: string): Promise<readonly number[]> => {
  const gateways = [fixture.gateway, ...peers];
  const statuses: number[] = [];
  for (const { state } of gateways) {
    const { callers } = state.settings;
    const answer = await fixture.request({ id: `${path}-${statuses.length}`, path, to: callers });
    statuses.push(answer.status);
  }
  return statuses;
};

describe('poison request, over sockets', () => {
  it('is refused at all gateways after two requests, and leaves replicas for others', async () => {
    const statuses = [await requestFromEach(LETHAL), await requestFromEach(LETHAL)].flat();
    expect(statuses.slice(0, 2)).toEqual([502, 502]);
    expect(statuses.slice(2)).toEqual([503, 503, 503, 503]);
    expect(crashed).toHaveLength(SHARDS.length + 2);
    expect(await requestFromEach('/all/other')).toEqual([200, 200, 200]);
    expect(crashed).toHaveLength(SHARDS.length + 2);
  });

  it('is refused with the time until its next trial, and its reason is logged, counted and traced', async () => {
    await requestFromEach(LETHAL);
    const answer = await fixture.request({ id: 'again', path: LETHAL });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(50);
    const { text } = await fixture.readMetrics();
    expect(text).toContain('crossroad_gateway_requests_blocked 1');
    expect(text).toContain('outcome="crashes-replicas"');
    const traced = fixture.log.traces.find(({ requestId }) => requestId === 'again');
    expect(traced?.decisions.at(-1)?.decision).toMatchObject({
      reason: 'crashes-replicas',
      blocked: { rounds: 3, level: 1 },
    });
  });

  it('is kept in a gateway entry in the store, from which the gateway restores it after a restart', async () => {
    await requestFromEach(LETHAL);
    const states = [fixture.gateway, ...peers].map(({ state }) => state);
    const writer = states.find(({ crashes }) => crashes.kept.size > 0);
    const own = writer?.peers.find(writer.settings.node);
    await until(
      () => writer?.peers.find(writer.settings.node)?.suspects !== undefined,
      'the entry names the request',
    );
    expect(own?.name).toBe(writer?.settings.node);
    [fixture.gateway, ...peers].forEach((gateway) => gateway.kill());
    await delay(50);
    const restarted = await fixture.startPeer(writer?.settings.node ?? '', 1);
    await until(
      () => restarted.state.crashes.histories.size > 0,
      'the restarted gateway has its history',
    );
  });
});
