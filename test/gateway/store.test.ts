import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import { ownRecord } from '../../src/gateway/peers/follow-gateways.js';
import { VirtualGateway } from './virtual-gateway.js';

const collectionCalls = (effects: readonly GatewayEffect[]): readonly string[] =>
  effects.flatMap((effect) =>
    effect.type === 'call-store' && (effect.call.type === 'watch' || effect.call.type === 'list')
      ? [effect.call.collection]
      : [],
  );

/** The only gateway, which therefore reads the store itself. */
const followingGateway = (): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, []);
  gateway.listReplicas(['s0']);
  gateway.listGateways([ownRecord(gateway.state)]);
  gateway.effects.splice(0);
  return gateway;
};

const failWatch = (gateway: VirtualGateway): void =>
  gateway.emit({
    type: 'store-call-failed',
    at: gateway.now,
    collection: 'replicas',
    problem: 'no-answer',
    detail: 'reset',
  });

const probe = (gateway: VirtualGateway, answered: boolean): void =>
  gateway.emit({ type: 'probe-ended', at: gateway.now, answered });

describe('the collections of the store', () => {
  it('are not called while the store is unreachable, and again after the first successful probe', () => {
    const gateway = followingGateway();
    probe(gateway, false);
    failWatch(gateway);
    gateway.emit({ type: 'collection-due', at: 500, collection: 'configuration' });
    expect(collectionCalls(gateway.effects)).toEqual([]);
    expect(gateway.effects.map(({ type }) => type)).not.toContain('set-collection-timer');
    probe(gateway, true);
    expect(collectionCalls(gateway.effects)).toEqual(['configuration', 'replicas', 'gateways']);
  });

  it('are watched again after a pause if only the watch failed', () => {
    const gateway = followingGateway();
    failWatch(gateway);
    expect(gateway.effects.map(({ type }) => type)).toContain('set-collection-timer');
    gateway.emit({ type: 'collection-due', at: 500, collection: 'replicas' });
    expect(collectionCalls(gateway.effects)).toEqual(['replicas']);
  });

  it('are listed again immediately if the store has discarded its history', () => {
    const gateway = followingGateway();
    probe(gateway, true);
    gateway.emit({
      type: 'store-call-failed',
      at: 0,
      collection: 'replicas',
      problem: 'history-gone',
      detail: 'status 410',
    });
    expect(collectionCalls(gateway.effects)).toEqual(['replicas']);
  });
});
