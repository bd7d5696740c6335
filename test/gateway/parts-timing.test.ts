import { describe, expect, it } from 'vitest';
import type { AnswerSubquery, SendSubquery } from '../../src/gateway/effect.js';
import type { Subquery } from '../../src/gateway/model/subquery.js';
import { feederPlan } from '../../src/gateway/peers/service-share.js';
import { gatherOf, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const SHARDS = 90;
const NAMES = Array.from({ length: SHARDS }, (_, index) => `s${index}`);

const PEERS = Array.from({ length: 64 }, (_, index) => ({
  name: `front-${index + 1}`,
  zone: index % 2 === 0 ? 'bole' : 'arada',
  address: { host: '127.0.0.1', port: 1 },
  capacity: index < 8 ? 1 : 0.3,
}));

/** A gateway with an alert route over 90 shards and 64 gateways, of which the first eight are feeders. */
const gatewayNamed = (node: string, capacity: number): VirtualGateway => {
  const gateway = new VirtualGateway(168, node, capacity);
  gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.85), { objectiveMs: 55.9 })], 54);
  gateway.listReplicas(NAMES);
  const own = PEERS.map((peer) => (peer.name === node ? { ...peer, zone: 'bole' } : peer));
  const known = own.some(({ name }) => name === node);
  const record = { ...PEERS[0], name: node, zone: 'bole', capacity } as (typeof PEERS)[0];
  gateway.listGateways(known ? own : [record, ...own]);
  return gateway;
};

describe('the time at which feeders send their parts', () => {
  /** Sends a gather and acknowledges its subqueries after this time; returns these. */
  const gather = (
    gateway: VirtualGateway,
    acknowledgedAfterMs: number,
  ): readonly SendSubquery[] => {
    const sent = gateway.subqueries.length;
    gateway.request();
    const subqueries = gateway.subqueries.slice(sent);
    gateway.now += acknowledgedAfterMs;
    subqueries.forEach(({ id }) =>
      gateway.emit({ type: 'subquery-acknowledged', at: gateway.now, subquery: id }),
    );
    gateway.now += 400;
    return subqueries;
  };

  const partsWithinAfter = (acknowledgedAfterMs: number, gathers: number): number => {
    const gateway = gatewayNamed('front-99', 0.3);
    for (let count = 0; count < gathers; count += 1) {
      gather(gateway, acknowledgedAfterMs);
    }
    return gather(gateway, acknowledgedAfterMs)[0]?.subquery.partsWithinMs ?? Number.NaN;
  };

  it('is 8 ms before the answer is due until enough round trips were measured', () => {
    expect(partsWithinAfter(15, 0)).toBeCloseTo(42.9 - 8);
    expect(partsWithinAfter(15, 3)).toBeCloseTo(42.9 - 8);
  });

  it('is later where feeders answer promptly, so that a batch gets more parts', () => {
    expect(partsWithinAfter(12 + 3, 20)).toBeCloseTo(42.9 - 5);
    expect(partsWithinAfter(12 + 6, 20)).toBeGreaterThan(42.9 - 8);
  });

  it('is earlier where messages are handled 10 ms late, so that a batch is not late', () => {
    expect(partsWithinAfter(12 + 10, 20)).toBeLessThanOrEqual(42.9 - 10);
    expect(partsWithinAfter(12 + 10, 20)).toBeGreaterThan(42.9 - 12);
  });

  it('is at most 16 ms earlier, since parts are sent one by one from then on', () => {
    expect(partsWithinAfter(12 + 30, 20)).toBeCloseTo(42.9 - 16);
  });
});

describe('a feeder with stalled shards', () => {
  const ALERT = { objectiveMs: 55.9, partsWithinMs: 35 };

  const partsOf = (gateway: VirtualGateway): readonly AnswerSubquery[] =>
    gateway.effects.filter((effect) => effect.type === 'answer-subquery');

  /** Receives a subquery of nine shards and answers the first attempts of this many after 8 ms. */
  const feeder = (answered: number, subquery: Partial<Subquery> = ALERT): VirtualGateway => {
    const gateway = gatewayNamed('front-1', 1);
    const own = NAMES.filter((name) => feederPlan(gateway.state).rankOf(name, 'front-1') === 0);
    gateway.receiveSubquery({ shards: own.slice(0, 9), ...subquery });
    gateway.advanceTo(8);
    gateway.sent
      .slice(0, answered)
      .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
    return gateway;
  };

  it('sends the other parts of an alert once the stalled one is hedged, before they are due', () => {
    const gateway = feeder(8);
    expect(partsOf(gateway)).toHaveLength(0);
    gateway.advanceTo(30);
    expect(gateway.sent).toHaveLength(10);
    expect(partsOf(gateway)).toMatchObject([{ part: { isFinal: false } }]);
    expect(partsOf(gateway)[0]?.part.shards).toHaveLength(8);
  });

  it('sends one message more for that, and no message for each part', () => {
    const gateway = feeder(7);
    gateway.advanceTo(30);
    expect(partsOf(gateway)).toHaveLength(1);
    const [first, second] = gateway.sent.slice(9);
    if (first !== undefined && second !== undefined) {
      gateway.end(first, success('a'));
      expect(partsOf(gateway)).toHaveLength(1);
      gateway.end(second, success('b'));
    }
    expect(partsOf(gateway)).toHaveLength(2);
    expect(partsOf(gateway)[1]).toMatchObject({ part: { isFinal: true } });
  });

  it('sends no message while most shards are missing', () => {
    const gateway = feeder(4);
    gateway.advanceTo(34);
    expect(partsOf(gateway)).toHaveLength(0);
  });

  it('sends no early message for an objective of 1,000 ms, where a hedge completes the batch in time', () => {
    const gateway = feeder(8, {
      ...ALERT,
      objectiveMs: 1_000,
      partsWithinMs: 970,
      deadlineMs: 1_900,
    });
    gateway.advanceTo(900);
    expect(gateway.sent).toHaveLength(10);
    expect(partsOf(gateway)).toHaveLength(0);
  });
});
