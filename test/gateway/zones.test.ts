import { describe, expect, it } from 'vitest';
import { gatherOf, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const SERVICE = { type: 'service', service: 's0' } as const;
const ZONES = ['bole', 'arada'];

const zonesOf = ({ sent }: VirtualGateway): readonly string[] => [
  ...new Set(sent.map(({ replica }) => replica.zone)),
];

const gatewayOver = (shards: number): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo(gatherOf(shards, 0.8))]);
  gateway.listReplicas(
    Array.from({ length: shards }, (_, index) => `s${index}`),
    ZONES,
  );
  return gateway;
};

describe('an evacuated zone', () => {
  it('gets no first attempts, hedges or retries', () => {
    const gateway = gatewayOver(10);
    gateway.evacuate('bole');
    gateway.request();
    gateway.advanceTo(60);
    gateway.sent
      .slice()
      .forEach((attempt) =>
        gateway.end(attempt, { type: 'failed', problem: 'reset', mayHaveRun: true }),
      );
    gateway.advanceTo(800);
    expect(zonesOf(gateway)).toEqual(['arada']);
  });

  it('gets no attempts for subqueries of another gateway', () => {
    const gateway = gatewayOver(10);
    gateway.evacuate('bole');
    gateway.receiveSubquery({ shards: ['s0', 's1', 's2'] });
    expect(zonesOf(gateway)).toEqual(['arada']);
  });

  it('gets requests again once the order is cancelled', () => {
    const gateway = gatewayOver(20);
    gateway.evacuate('bole');
    gateway.evacuate('bole', true);
    gateway.request();
    expect(zonesOf(gateway)).toContain('bole');
  });

  it('causes requests to be refused at once, as not run, when it holds all replicas', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(SERVICE)]);
    gateway.listReplicas(['s0'], ['bole']);
    gateway.evacuate('bole');
    const call = gateway.request();
    expect(gateway.answers.get(call)).toMatchObject({
      type: 'refusal',
      reason: 'no-replica',
      mayHaveRun: false,
    });
    expect(gateway.answeredAt.get(call)).toBe(0);
  });

  it('gets no connections opened in advance', () => {
    const gateway = new VirtualGateway();
    gateway.evacuate('bole');
    gateway.configure(1, [routeTo(gatherOf(4, 0.8))]);
    gateway.state.gatewaysSettled = true;
    gateway.listReplicas(['s0', 's1', 's2', 's3'], ZONES);
    const opened = gateway.effects.flatMap((effect) =>
      effect.type === 'open-connection' ? [effect.replica.zone] : [],
    );
    expect(new Set(opened)).toEqual(new Set(['arada']));
  });
});

describe('a route with allowed regions', () => {
  const configure = (gateway: VirtualGateway, allowedRegions: readonly string[]): void =>
    gateway.configure(1, [routeTo(gatherOf(10, 0.8), { allowedRegions })]);

  const gatewayInTwoRegions = (allowedRegions: readonly string[]): VirtualGateway => {
    const gateway = new VirtualGateway();
    gateway.state.settings = {
      ...gateway.state.settings,
      zoneRegions: { bole: 'addis', arada: 'wales' },
    };
    configure(gateway, allowedRegions);
    gateway.listReplicas(
      Array.from({ length: 10 }, (_, index) => `s${index}`),
      ZONES,
    );
    return gateway;
  };

  it('is served in these regions only, including hedges', () => {
    const gateway = gatewayInTwoRegions(['wales']);
    const call = gateway.request();
    gateway.sent.slice(0, 9).forEach((attempt) => gateway.end(attempt, success('x')));
    gateway.advanceTo(800);
    expect(zonesOf(gateway)).toEqual(['arada']);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged' });
  });

  it('is served in these regions by feeders too, whatever their own configuration of the route', () => {
    const gateway = gatewayInTwoRegions(['addis', 'wales']);
    gateway.receiveSubquery({ shards: ['s0', 's1', 's2', 's3'], allowedRegions: ['wales'] });
    expect(zonesOf(gateway)).toEqual(['arada']);
  });

  it('is refused at once when no replica is in these regions', () => {
    const gateway = gatewayInTwoRegions(['elsewhere']);
    const call = gateway.request();
    expect(gateway.sent).toHaveLength(0);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', mayHaveRun: false });
    expect(gateway.answeredAt.get(call)).toBe(0);
  });
});
