/** The request rate of a cold replica, summed over gateways that do not coordinate by messages. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { PeerRecord } from '../../src/gateway/model/peer-record.js';
import type { RouteTarget } from '../../src/gateway/model/route.js';
import { gatherOf, routeTo, VirtualGateway } from './virtual-gateway.js';

const RATE = 8;
const OVERSHOOT = 1.5;
const SLACK = 5;
const BOUND = RATE * OVERSHOOT + SLACK;
const SECOND_MS = 1_000;
const SINGLE: RouteTarget = { type: 'service', service: 's0' };

const recordOf = (index: number): PeerRecord => ({
  name: `front-${index}`,
  zone: 'bole',
  address: { host: '127.0.0.1', port: 1 },
  capacity: 1,
});

interface Fleet {
  readonly gateways: readonly VirtualGateway[];
}

/** Gateways that have all just started and know one cold replica of each service. */
const fleetOf = (count: number, target: RouteTarget, firstStart = true): Fleet => {
  const records = Array.from({ length: count }, (_, index) => recordOf(index));
  const gateways = records.map(({ name }) => {
    const gateway = new VirtualGateway(40, name);
    const { settings } = gateway.state;
    gateway.state.settings = {
      ...settings,
      firstStart,
      zoneRegions: { bole: 'addis' },
      bounds: { ...settings.bounds, coldOvershoot: OVERSHOOT, coldSlack: SLACK },
    };
    gateway.configure(1, [routeTo(target)], 32, RATE);
    gateway.listReplicas(target.type === 'gather' ? target.shards : ['s0'], ['bole'], 60_000);
    gateway.listGateways(records);
    return gateway;
  });
  return { gateways };
};

const sendTimes = ({ gateways }: Fleet, times: Map<VirtualGateway, number[]>): readonly number[] =>
  gateways.flatMap((gateway) => times.get(gateway) ?? []).sort((left, right) => left - right);

/** The largest number of requests in any second. */
const peakOf = (times: readonly number[]): number =>
  Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + SECOND_MS).length),
  );

/** Each step: a delay in milliseconds, and the index of the gateway that receives a request. */
const steps = fc.array(fc.tuple(fc.nat(40), fc.nat(89)), { minLength: 50, maxLength: 250 });

const peakOfReplay = (fleet: Fleet, requests: readonly (readonly [number, number])[]): number => {
  const times = new Map<VirtualGateway, number[]>();
  let now = 0;
  for (const [afterMs, index] of requests) {
    now += afterMs;
    const gateway = fleet.gateways[index % fleet.gateways.length] as VirtualGateway;
    const before = gateway.sent.length;
    gateway.now = now;
    gateway.request();
    const sentToFirstService = gateway.sent
      .slice(before)
      .filter(({ replica }) => replica.service === 's0');
    const known = times.get(gateway) ?? [];
    times.set(gateway, [...known, ...sentToFirstService.map(() => now)]);
  }
  return peakOf(sendTimes(fleet, times));
};

describe('a cold replica with a request rate', () => {
  it('gets at most the bound in any second from any number of gateways', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 90 }), steps, (count, requests) => {
        expect(peakOfReplay(fleetOf(count, SINGLE), requests)).toBeLessThanOrEqual(BOUND);
      }),
      { numRuns: 40, seed: 20_261_202 },
    );
  });

  it('gets at most the bound while gateways hold two different lists of gateways', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 60 }), fc.nat(59), steps, (count, left, requests) => {
        const fleet = fleetOf(count, SINGLE);
        const rest = fleet.gateways.flatMap((_, index) =>
          index === left % count ? [] : [recordOf(index)],
        );
        fleet.gateways.slice(0, count / 2).forEach((gateway) => gateway.listGateways(rest));
        expect(peakOfReplay(fleet, requests)).toBeLessThanOrEqual(BOUND);
      }),
      { numRuns: 40, seed: 20_261_202 },
    );
  });

  it('gets requests from as many gateways as its rate per second when it has no feeders', () => {
    const fleet = fleetOf(60, SINGLE);
    peakOfReplay(
      fleet,
      fleet.gateways.map((_, index) => [1, index] as const),
    );
    const senders = fleet.gateways.filter(({ sent }) => sent.length > 0);
    expect(senders).toHaveLength(RATE);
  });

  it('gets requests only from its first feeder when it has feeders', () => {
    const target = gatherOf(40, 0.5);
    const fleet = fleetOf(40, target);
    fleet.gateways.forEach((gateway) => gateway.receiveSubquery({ shards: ['s0'] }));
    const senders = fleet.gateways.filter(({ sent }) => sent.length > 0);
    expect(senders).toHaveLength(1);
  });

  it('gets nothing for a second from a restarted gateway, which may have sent requests before', () => {
    const fleet = fleetOf(1, SINGLE, false);
    expect(peakOfReplay(fleet, [[900, 0]])).toBe(0);
    expect(peakOfReplay(fleet, [[1_100, 0]])).toBe(1);
  });

  it('is not limited once it is warm', () => {
    const fleet = fleetOf(1, SINGLE);
    const [gateway] = fleet.gateways;
    if (gateway !== undefined) {
      gateway.now = 60_001;
    }
    const requests = Array.from({ length: 40 }, (): [number, number] => [1, 0]);
    expect(peakOfReplay(fleet, [[60_001, 0], ...requests])).toBe(41);
  });

  it('is limited again when it becomes cold again', () => {
    const { gateways } = fleetOf(1, SINGLE);
    const [gateway] = gateways as [VirtualGateway];
    gateway.listReplicas(['s0'], ['bole'], 0);
    gateway.listReplicas(['s0'], ['bole'], 3_000);
    const replica = gateway.state.replicas.of('s0')[0];
    expect(replica?.coldUntil).toBe(3_000);
    expect(
      peakOfReplay(
        { gateways },
        Array.from({ length: 30 }, () => [1, 0] as const),
      ),
    ).toBe(RATE);
  });

  it('causes requests to be refused as not run when it is the only replica', () => {
    const { gateways } = fleetOf(1, SINGLE);
    const [gateway] = gateways as [VirtualGateway];
    const calls = Array.from({ length: RATE + 3 }, () => gateway.request());
    gateway.advanceTo(200);
    const refused = calls.filter((call) => gateway.answers.get(call)?.type === 'refusal');
    expect(refused).toHaveLength(3);
    expect(gateway.answers.get(refused[0] ?? 0)).toMatchObject({ mayHaveRun: false });
  });
});
