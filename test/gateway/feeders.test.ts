import { describe, expect, it } from 'vitest';
import type { AnswerSubquery, GatewayEffect, SendSubquery } from '../../src/gateway/effect.js';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { SubqueryPart } from '../../src/gateway/model/subquery.js';
import type { AttemptResult } from '../../src/gateway/model/request.js';
import { drawReplicas } from '../../src/gateway/replicas/shared-replicas.js';
import { connectionShare } from '../../src/gateway/replicas/connection-share.js';
import { feederPlan, shareOf } from '../../src/gateway/peers/service-share.js';
import { gatherOf, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const SHARDS = 64;
const NAMES = Array.from({ length: SHARDS }, (_, index) => `s${index}`);

/** 64 gateways of one region; the first eight have a capacity of 1, the others of 0.3. */
const GATEWAYS: readonly PeerRecord[] = Array.from({ length: 64 }, (_, index) => ({
  name: `front-${index + 1}`,
  zone: index % 2 === 0 ? 'bole' : 'arada',
  address: { host: '127.0.0.1', port: 1 },
  capacity: index < 8 ? 1 : 0.3,
}));

/** All gateways, with `own` in place of `front-1`. */
const gatewaysWith = (own: PeerRecord): readonly PeerRecord[] => [own, ...GATEWAYS.slice(1)];

const FEEDER = { ...GATEWAYS[0], name: 'front-1', zone: 'bole', capacity: 1 } as PeerRecord;
const SMALL: PeerRecord = { ...FEEDER, name: 'front-99', capacity: 0.3 };

const coordinator = (slack?: number): VirtualGateway => {
  const gateway = new VirtualGateway(slack, SMALL.name, SMALL.capacity);
  gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
  gateway.listReplicas(NAMES);
  gateway.listGateways([SMALL, ...GATEWAYS]);
  return gateway;
};

const partOf = (
  shards: readonly string[],
  isFinal = true,
  unsent: readonly string[] = [],
): SubqueryPart => ({
  shards: shards.map((service) => ({ service, signature: `signed-${service}` })),
  records: Buffer.alloc(16 * shards.length, 7),
  unsent,
  isFinal,
});

const answer = (gateway: VirtualGateway, sent: SendSubquery, part?: SubqueryPart): void =>
  gateway.emit({
    type: 'subquery-answered',
    at: gateway.now,
    subquery: sent.id,
    part: part ?? partOf(sent.subquery.shards),
  });

const acknowledge = (gateway: VirtualGateway, sent: SendSubquery): void =>
  gateway.emit({
    type: 'subquery-acknowledged',
    at: gateway.now,
    subquery: sent.id,
  });

const firstOf = <Value>(values: readonly Value[]): Value => {
  const [first] = values;
  if (first === undefined) {
    throw new Error('expected at least one value');
  }
  return first;
};

const answersOf = (effects: readonly GatewayEffect[]): readonly AnswerSubquery[] =>
  effects.filter((effect) => effect.type === 'answer-subquery');

const ofType = (gateway: VirtualGateway, type: GatewayEffect['type']): readonly GatewayEffect[] =>
  gateway.effects.filter((effect) => effect.type === type);

describe('a gather over feeders', () => {
  it('requests each shard once from gateways of high capacity and merges their parts', () => {
    const gateway = coordinator();
    const call = gateway.request();
    expect(gateway.sent).toHaveLength(0);
    expect(gateway.subqueries.flatMap(({ subquery }) => subquery.shards).sort()).toEqual(
      [...NAMES].sort(),
    );
    expect(gateway.subqueries.every(({ peer }) => peer.capacity === 1)).toBe(true);
    gateway.now = 20;
    gateway.subqueries.slice().forEach((sent) => answer(gateway, sent));
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
    const response = gateway.answers.get(call);
    const signatures = response?.type === 'merged' ? response.signatures : [];
    expect(new Set(signatures).size).toBe(SHARDS);
  });

  it('is sent directly to replicas when few gateways share many connections', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(gatherOf(4, 1))], 26);
    gateway.listReplicas(NAMES.slice(0, 4));
    gateway.listGateways(gatewaysWith(FEEDER).slice(0, 8));
    gateway.request();
    expect([gateway.sent.length, gateway.subqueries.length]).toEqual([4, 0]);
  });

  it('is answered before its objective with the parts received so far', () => {
    const gateway = coordinator();
    const call = gateway.request();
    const [slow, ...others] = gateway.subqueries;
    others.forEach((sent) => answer(gateway, sent));
    if (slow !== undefined) {
      acknowledge(gateway, slow);
      const shards = slow.subquery.shards;
      answer(gateway, slow, partOf(shards.slice(0, -1), false));
      gateway.advanceTo(87);
      expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 1 });
      expect(ofType(gateway, 'cancel-subquery')).toMatchObject([{ id: slow.id }]);
    }
  });

  it('moves the shards of a silent feeder as repeats, and avoids this feeder afterwards', () => {
    const gateway = coordinator();
    const call = gateway.request();
    const silent = firstOf(gateway.subqueries);
    gateway.subqueries.slice(1).forEach((sent) => answer(gateway, sent));
    const before = gateway.subqueries.length;
    gateway.advanceTo(36);
    const moved = gateway.subqueries.slice(before);
    expect(moved.flatMap(({ subquery }) => subquery.shards).sort()).toEqual(
      [...silent.subquery.shards].sort(),
    );
    expect(moved.every(({ subquery }) => subquery.isRepeat)).toBe(true);
    expect(moved.some(({ peer }) => peer.name === silent.peer.name)).toBe(false);
    answer(gateway, silent);
    expect(gateway.answers.has(call)).toBe(false);
    moved.forEach((sent) => answer(gateway, sent));
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
    const next = gateway.subqueries.length;
    gateway.request();
    const asked = gateway.subqueries.slice(next).map(({ peer }) => peer.name);
    expect(asked).not.toContain(silent.peer.name);
  });

  it('skips a lost feeder until it responds, and checks it without a subquery', () => {
    const gateway = coordinator();
    const peer = firstOf(feederPlan(gateway.state).feeders).name;
    const requestedPeers = (): readonly string[] => {
      const before = gateway.subqueries.length;
      gateway.request();
      return gateway.subqueries.slice(before).map((sent) => sent.peer.name);
    };
    expect(requestedPeers()).toContain(peer);
    gateway.emit({ type: 'peer-lost', at: 0, peer, problem: 'silent' });
    expect(ofType(gateway, 'check-peer')).toMatchObject([{ peer: { name: peer } }]);
    gateway.advanceTo(5_000);
    expect(requestedPeers()).not.toContain(peer);
    gateway.emit({ type: 'peer-alive', at: gateway.now, peer });
    expect(requestedPeers()).toContain(peer);
  });

  it('skips a feeder that stops or refuses until it confirms that it serves', () => {
    const gateway = coordinator();
    const [stopping, refusing] = feederPlan(gateway.state).feeders.map(({ name }) => name);
    const lost = { type: 'peer-lost', at: 0 } as const;
    gateway.emit({ ...lost, peer: stopping ?? '', problem: 'stopping' });
    gateway.emit({ ...lost, peer: refusing ?? '', problem: 'refusing' });
    expect(ofType(gateway, 'check-peer')).toHaveLength(2);
    gateway.advanceTo(3_000);
    gateway.request();
    const asked = gateway.subqueries.map(({ peer }) => peer.name);
    expect(asked).not.toContain(stopping);
    expect(asked).not.toContain(refusing);
  });

  it('does not time out feeders whose messages this process was too busy to read', () => {
    const gateway = coordinator();
    gateway.request();
    const before = gateway.subqueries.length;
    gateway.now = 60;
    gateway.emit({ type: 'request-due', at: 60, call: 1 });
    gateway.subqueries.slice().forEach((sent) => acknowledge(gateway, sent));
    gateway.advanceTo(80);
    expect(gateway.subqueries).toHaveLength(before);
  });

  it('moves shards at once when a feeder refuses, and not as repeats', () => {
    const gateway = coordinator();
    gateway.request();
    const refused = firstOf(gateway.subqueries);
    const before = gateway.subqueries.length;
    const failed = { at: 0, subquery: refused.id, mayHaveRun: false };
    gateway.emit({ type: 'subquery-failed', ...failed });
    const moved = gateway.subqueries.slice(before);
    expect(moved.flatMap(({ subquery }) => subquery.shards)).toHaveLength(
      refused.subquery.shards.length,
    );
    expect(moved.some(({ subquery }) => subquery.isRepeat)).toBe(false);
  });

  // A second move forgot the first: the third feeder sent the shards as new requests, outside of every budget.
  it('moves shards as repeats also when the feeder that took them over has not run them', () => {
    const gateway = coordinator();
    gateway.request();
    /** Fails a subquery; returns those that replace it. */
    const fail = ({ id: subquery }: SendSubquery, mayHaveRun: boolean): readonly SendSubquery[] => {
      const before = gateway.subqueries.length;
      gateway.emit({ type: 'subquery-failed', at: 0, subquery, mayHaveRun });
      return gateway.subqueries.slice(before);
    };
    const moved = fail(firstOf(gateway.subqueries), true);
    const movedAgain = fail(firstOf(moved), false);
    expect(movedAgain.length).toBeGreaterThan(0);
    expect(movedAgain.every(({ subquery }) => subquery.isRepeat)).toBe(true);
  });

  it('requests unsent shards from the next feeder, and not as repeats', () => {
    const gateway = coordinator();
    const call = gateway.request();
    const [uninformed, ...others] = gateway.subqueries.slice();
    others.forEach((sent) => answer(gateway, sent));
    const { shards } = firstOf(gateway.subqueries).subquery;
    const before = gateway.subqueries.length;
    if (uninformed !== undefined) {
      answer(gateway, uninformed, partOf([], true, shards));
    }
    const moved = gateway.subqueries.slice(before);
    expect(moved.flatMap(({ subquery }) => subquery.shards).sort()).toEqual([...shards].sort());
    expect(moved.some(({ subquery }) => subquery.isRepeat)).toBe(false);
    expect(moved.some(({ peer }) => peer.name === uninformed?.peer.name)).toBe(false);
    moved.forEach((sent) => answer(gateway, sent));
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
  });

  it('cancels its subqueries at once when the caller has left', () => {
    const gateway = coordinator();
    const call = gateway.request();
    gateway.emit({ type: 'caller-left', at: 5, call });
    const cancelled = ofType(gateway, 'cancel-subquery');
    expect(cancelled).toHaveLength(gateway.subqueries.length);
    expect(cancelled.every((effect) => 'withinMs' in effect && effect.withinMs === 0)).toBe(true);
  });
});

describe('silent feeders', () => {
  it('do not time out while most feeders are silent, since the delay is elsewhere', () => {
    const gateway = coordinator();
    gateway.request();
    const sent = gateway.subqueries.length;
    gateway.advanceTo(50);
    expect([gateway.subqueries.length, ofType(gateway, 'check-peer').length]).toEqual([sent, 0]);
  });

  it('time out after the objective even if all of them are silent', () => {
    const gateway = coordinator();
    gateway.request();
    const sent = gateway.subqueries.length;
    gateway.advanceTo(95);
    expect(gateway.subqueries).toHaveLength(sent);
    gateway.advanceTo(120);
    expect(gateway.subqueries.length).toBeGreaterThan(sent);
  });

  it('do not time out before the usual delay of feeders', () => {
    const gateway = coordinator();
    for (let request = 0; request < 20; request += 1) {
      gateway.subqueries.splice(0);
      gateway.request();
      const sent = gateway.subqueries.slice();
      gateway.now += request % 2 === 0 ? 20 : 45;
      sent.forEach((each) => answer(gateway, each));
    }
    gateway.subqueries.splice(0);
    gateway.request();
    const [silent, ...others] = gateway.subqueries.slice();
    others.forEach((each) => acknowledge(gateway, each));
    const suspects = ofType(gateway, 'check-peer').length;
    gateway.advanceTo(gateway.now + 45);
    expect(silent).toBeDefined();
    expect(ofType(gateway, 'check-peer')).toHaveLength(suspects);
  });
});

describe('the feeders of an index', () => {
  /** Feeders of an index in four zones, each with gateways of high capacity; its replicas are in `replicaZones`. */
  const planWith = (replicaZones: readonly string[]): readonly PeerRecord[] => {
    const gateway = new VirtualGateway(40, SMALL.name, SMALL.capacity);
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.listReplicas(NAMES, replicaZones);
    const peers = GATEWAYS.map((peer, index) => ({
      ...peer,
      zone: ['bole', 'arada', 'kirkos', 'yeka'][index % 4] ?? '',
      capacity: index < 16 ? 1 : 0.3,
    }));
    gateway.state.settings = {
      ...gateway.state.settings,
      zoneRegions: { bole: 'addis', arada: 'addis', kirkos: 'addis', yeka: 'addis' },
    };
    gateway.listGateways([SMALL, ...peers]);
    return feederPlan(gateway.state).feeders;
  };

  const zonesOf = (feeders: readonly PeerRecord[]): readonly string[] =>
    [...new Set(feeders.map(({ zone }) => zone))].sort();

  it('are in the zones of its replicas', () => {
    expect(zonesOf(planWith(['bole', 'arada']))).toEqual(['arada', 'bole']);
  });

  it('are in all zones when its replicas are', () => {
    const zones = ['arada', 'bole', 'kirkos', 'yeka'];
    expect(zonesOf(planWith(zones))).toEqual(zones);
  });

  it('are also in other zones when the zones of its replicas have too few gateways', () => {
    expect(planWith(['gulele']).length).toBeGreaterThanOrEqual(3);
  });
});

describe('a feeder', () => {
  const feeder = (slack?: number): VirtualGateway => {
    const gateway = new VirtualGateway(slack);
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.listReplicas(NAMES);
    gateway.listGateways(gatewaysWith(FEEDER));
    return gateway;
  };

  /** A shard whose first feeder is this gateway. */
  const ownShard = (gateway: VirtualGateway): string =>
    firstOf(NAMES.filter((name) => feederPlan(gateway.state).rankOf(name, 'front-1') === 0));

  const LOST: AttemptResult = { type: 'failed', problem: 'reset', mayHaveRun: true };

  it('sends all parts together when they arrive soon, without an acknowledgement', () => {
    const gateway = feeder();
    gateway.receiveSubquery({ shards: ['s0', 's1'] });
    gateway.now = 10;
    gateway.sent.slice().forEach((sent) => gateway.end(sent, success(sent.replica.id)));
    const [parts, ...more] = answersOf(gateway.effects);
    expect(parts?.part).toMatchObject({ isFinal: true });
    expect(parts?.part.shards.map(({ service }) => service)).toEqual(['s0', 's1']);
    expect(more).toHaveLength(0);
    expect(ofType(gateway, 'acknowledge-subquery')).toHaveLength(0);
  });

  it('acknowledges a longer subquery, and sends the parts received so far when they are due', () => {
    const gateway = feeder();
    gateway.receiveSubquery({ shards: ['s0', 's1'], maxAttempts: 1 });
    gateway.advanceTo(12);
    expect(ofType(gateway, 'acknowledge-subquery')).toHaveLength(1);
    const [quick, slow] = gateway.sent;
    if (quick !== undefined && slow !== undefined) {
      gateway.end(quick, success('a'));
      gateway.advanceTo(69);
      expect(answersOf(gateway.effects)).toHaveLength(0);
      gateway.advanceTo(70);
      expect(answersOf(gateway.effects)).toMatchObject([
        { part: { shards: [{ service: 's0' }], isFinal: false } },
      ]);
      gateway.now = 90;
      gateway.end(slow, success('b'));
    }
    expect(answersOf(gateway.effects).at(-1)).toMatchObject({
      part: { shards: [{ service: 's1' }], isFinal: true },
    });
  });

  it('reports at once the shards of which it knows no replica', () => {
    const gateway = feeder();
    gateway.receiveSubquery({ shards: ['s0', 'unknown'] });
    expect(answersOf(gateway.effects)).toMatchObject([
      { part: { shards: [], unsent: ['unknown'], isFinal: false } },
    ]);
    gateway.sent.slice().forEach((sent) => gateway.end(sent, success(sent.replica.id)));
    expect(answersOf(gateway.effects).at(-1)).toMatchObject({
      part: { shards: [{ service: 's0' }], unsent: [], isFinal: true },
    });
  });

  it('does not report a shard as unsent when its attempt was lost before a pause', () => {
    const gateway = feeder(0);
    gateway.receiveSubquery({ shards: ['s0', 's1'] });
    gateway.end(firstOf(gateway.sent), LOST);
    gateway.advanceTo(900);
    expect(gateway.sent).toHaveLength(2);
    expect(answersOf(gateway.effects).flatMap(({ part }) => part.unsent)).toEqual([]);
  });

  it('sends a repeated subquery to only one replica of each shard', () => {
    const gateway = feeder(168);
    gateway.receiveSubquery({ shards: [ownShard(gateway)], isRepeat: true });
    gateway.advanceTo(60);
    expect(gateway.sent).toHaveLength(1);
    gateway.sent.slice().forEach((sent) => gateway.end(sent, LOST));
    expect(gateway.sent).toHaveLength(1);
    expect(answersOf(gateway.effects)).toMatchObject([{ part: { shards: [], isFinal: true } }]);
  });

  it('sends no repeat when its retry budget is exhausted', () => {
    const gateway = feeder(0);
    gateway.receiveSubquery({ shards: [ownShard(gateway)], isRepeat: true });
    expect(gateway.sent).toHaveLength(0);
    expect(answersOf(gateway.effects)).toMatchObject([{ part: { shards: [], isFinal: true } }]);
  });

  it('aborts its attempts when the coordinator cancels the subquery', () => {
    const gateway = feeder();
    const call = gateway.receiveSubquery({ shards: ['s0', 's1'] });
    gateway.emit({ type: 'subquery-cancelled', at: 3, call, withinMs: 0 });
    expect(ofType(gateway, 'abort-attempt')).toHaveLength(2);
    expect(gateway.state.requests.size).toBe(0);
  });

  it('refuses subqueries while it stops', () => {
    const gateway = feeder();
    gateway.emit({ type: 'stop-requested', at: 0, signalledMsAgo: 0 });
    gateway.receiveSubquery({ shards: ['s0'] });
    expect(gateway.sent).toHaveLength(0);
    expect(ofType(gateway, 'refuse-subquery')).toHaveLength(1);
    expect(ofType(gateway, 'announce-stop')).toHaveLength(1);
  });

  it('limits extra arrivals to a ratio of the requests that it has received', () => {
    const gateway = feeder(0);
    for (let count = 0; count < 100; count += 1) {
      gateway.receiveSubquery({ shards: ['s0'] });
      gateway.advanceTo(gateway.now + 60);
    }
    const extras = gateway.sent.length - 100;
    expect(extras).toBeGreaterThan(5);
    expect(extras).toBeLessThanOrEqual(20);
  });
});

describe('a feeder that knew no replica of a shard', () => {
  // The next feeder counts the request as well, so that each one would allow repeats twice.
  it('does not count requests that it has not sent', () => {
    const gateway = new VirtualGateway(0);
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.listReplicas(NAMES.slice(1));
    gateway.listGateways(gatewaysWith(FEEDER));
    for (let count = 0; count < 100; count += 1) {
      gateway.receiveSubquery({ shards: ['s0'] });
    }
    gateway.listReplicas(['s0']);
    gateway.receiveSubquery({ shards: ['s0'] });
    gateway.advanceTo(gateway.now + 60);
    expect(gateway.sent).toHaveLength(1);
  });
});

describe('feeders that send the same request in turn', () => {
  /** Sends `requestId` through a feeder with latency statistics of its own; returns the replicas that it used. */
  const replicasUsed = (feeder: VirtualGateway, requestId: string, isRepeat: boolean): string[] => {
    const before = feeder.sent.length;
    const subquery = {
      route: 'route',
      shards: ['s0'],
      maxRecords: 10,
      maxAttempts: 2,
      objectiveMs: 100,
      partsWithinMs: 70,
      deadlineMs: 800,
      isRepeat,
    };
    const call = 1_000 + before;
    const fingerprint = requestId;
    feeder.emit({
      type: 'subquery-received',
      at: feeder.now,
      call,
      requestId,
      fingerprint,
      subquery,
    });
    feeder.advanceTo(feeder.now + 60);
    const used = feeder.sent.slice(before);
    used.forEach((sent) => feeder.end(sent, success(sent.replica.id)));
    return used.map(({ replica }) => replica.id);
  };

  const feederIn = (zones: readonly string[]): VirtualGateway => {
    const gateway = new VirtualGateway(10_000);
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.listReplicas(['s0'], zones);
    gateway.listGateways(gatewaysWith(FEEDER));
    return gateway;
  };

  it('use together no more replicas of a shard than its route allows', () => {
    const zones = ['bole', 'arada', 'arada'];
    const [first, second] = [feederIn(zones), feederIn(zones)];
    for (let request = 0; request < 50; request += 1) {
      const id = `request-${request}`;
      const used = [...replicasUsed(first, id, false), ...replicasUsed(second, id, true)];
      expect(new Set(used).size).toBeLessThanOrEqual(2);
    }
    expect(new Set(first.sent.map(({ replica }) => replica.id)).size).toBe(3);
  });
});

describe('drawReplicas', () => {
  it('draws replicas of the own region first, at random among equals', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, []);
    gateway.listReplicas(['s0'], ['hall', 'arada', 'bole', 'hall']);
    const replicas = gateway.state.replicas.of('s0');
    const isNear = (zone: string): boolean => zone !== 'hall';
    const drawn = new Set<string>();
    for (let request = 0; request < 40; request += 1) {
      const one = drawReplicas(replicas, `r-${request}`, 1, isNear);
      const three = drawReplicas(replicas, `r-${request}`, 3, isNear);
      [...one].forEach((id) => drawn.add(id));
      expect(three.has('s0-arada-1') && three.has('s0-bole-2')).toBe(true);
    }
    expect([...drawn].sort()).toEqual(['s0-arada-1', 's0-bole-2']);
  });
});

describe('the shares of all gateways together', () => {
  const gatewayNamed = (record: PeerRecord): VirtualGateway => {
    const gateway = new VirtualGateway(168, record.name);
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.listReplicas(NAMES);
    const own = { ...record, zone: 'bole', capacity: 1 };
    gateway.listGateways(GATEWAYS.map((each) => (each.name === record.name ? own : each)));
    return gateway;
  };

  /** Lists the same gateways everywhere, so that all plans are the same. */
  const withCommonView = (gateway: VirtualGateway): VirtualGateway => {
    GATEWAYS.forEach((record) => gateway.state.peers.put(record));
    return gateway;
  };

  const fleet = GATEWAYS.map((record) => withCommonView(gatewayNamed(record)));

  it('of the slack of a shard do not exceed the whole slack', () => {
    for (const service of NAMES) {
      const sum = fleet.reduce((total, { state }) => total + shareOf(state, service), 0);
      expect(sum).toBeLessThanOrEqual(1);
    }
  });

  it('are based on the same feeders at every gateway', () => {
    for (const service of NAMES) {
      const named = fleet.map(({ state }) =>
        feederPlan(state)
          .feedersOf(service)
          .map(({ name }) => name)
          .join(),
      );
      expect(new Set(named).size).toBe(1);
    }
  });

  it('give the feeders of a shard more than one connection to each replica', () => {
    const shares = fleet.map(({ state }) => connectionShare(state, 's0', 20_000));
    expect(Math.max(...shares)).toBeGreaterThan(10);
    expect(shares.filter((share) => share > 1)).toHaveLength(4);
  });

  // A starting process took an eighth of the connections to each replica, however many gateways there were.
  it('contain none for a restarted process that does not know the list of gateways', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.9))], 54);
    gateway.state.settings = { ...gateway.state.settings, firstStart: false };
    gateway.state.peers.remove('front-1');
    gateway.state.gateways = 8;
    expect(shareOf(gateway.state, 's0')).toBe(0);
    expect(connectionShare(gateway.state, 's0', 0)).toBe(1);
  });

  it('leave slack to the third and fourth feeders of a shard, which replace the others', () => {
    const slack = fleet.map(({ state }) => Math.floor(168 * shareOf(state, 's0')));
    expect(slack.filter((each) => each >= 10)).toHaveLength(4);
  });
});

describe('a suspected request over feeders', () => {
  /** Another gateway reports that the request crashed a replica three seconds ago. */
  const suspect = (gateway: VirtualGateway): void => {
    const news = [{ fingerprint: 'print', rounds: 1, crashedMsAgo: 3_000 }];
    gateway.emit({ type: 'crash-updates-received', at: gateway.now, from: 'front-2', news });
  };

  it('is not sent to another feeder at once when its caller has left', () => {
    const gateway = coordinator();
    suspect(gateway);
    const call = gateway.request(900, false, 'print');
    expect(gateway.subqueries).toHaveLength(1);
    gateway.emit({ type: 'caller-left', at: gateway.now, call });
    gateway.request(900, false, 'print');
    expect(gateway.subqueries).toHaveLength(1);
  });
});
