import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import { makeKey, makeRow, type VirtualReplica, VirtualTier } from './virtual-tier.js';

const COORDINATOR = 'bole-0' as NodeId;
const SILENT_PEER = 'arada-0' as NodeId;

const replicasOf = (tier: VirtualTier, service: string): VirtualReplica[] =>
  tier.replicas.filter(({ status }) => status.replica.startsWith(service));

const countLegsTo = (tier: VirtualTier, node: NodeId): { legs: number } => {
  const count = { legs: 0 };
  tier.onMessage = ({ to, message }) => {
    count.legs += to === node && message.type === 'leg-batch' ? message.legs.length : 0;
    return 1;
  };
  return count;
};

describe('replicas that only a silent peer feeds', () => {
  it('are avoided until the peer reports, except for an occasional trial leg', () => {
    const rows = [makeRow({ fanOut: 'key' })];
    const tier = new VirtualTier({ zones: ['bole', 'arada'], nodesPerZone: 1, services: 40, rows });
    const sendQueries = (queries: number): string[] =>
      Array.from({ length: queries }, () => {
        const call = tier.ask(COORDINATOR, { key: `key-${tier.asked}` });
        tier.runFor(10);
        return call;
      });
    tier.pause(SILENT_PEER);
    sendQueries(20);
    const count = countLegsTo(tier, SILENT_PEER);
    const calls = sendQueries(100);
    tier.runFor(500);
    for (const call of calls) {
      expect(tier.answers.get(call)?.outcome).toMatchObject({ type: 'answered', missing: [] });
    }
    expect(count.legs).toBeLessThan(10);
  });
});

describe('a query whose open legs are at replicas that do not answer', () => {
  const freeze = (tier: VirtualTier): VirtualReplica[] => {
    const frozen = replicasOf(tier, 'svc-2');
    frozen.forEach((replica) => (replica.mode = 'frozen'));
    return frozen;
  };

  it('is answered long before its deadline once the replicas are ejected', () => {
    const tier = new VirtualTier();
    freeze(tier);
    const latencies = Array.from({ length: 8 }, () => tier.askAndWait(COORDINATOR)?.latencyMs ?? 0);
    expect(latencies[0]).toBeGreaterThanOrEqual(500);
    expect(Math.max(...latencies.slice(4))).toBeLessThan(200);
    expect(tier.askAndWait(COORDINATOR)?.outcome).toMatchObject({ contributed: 6 });
  });

  it('has full coverage at once when the replicas answer again', () => {
    const tier = new VirtualTier();
    const frozen = freeze(tier);
    for (let round = 0; round < 8; round += 1) {
      tier.askAndWait(COORDINATOR);
    }
    frozen.forEach((replica) => tier.resumeReplica(replica));
    expect(tier.askAndWait(COORDINATOR)?.outcome).toMatchObject({ contributed: 8, missing: [] });
  });

  it('waits until its deadline if it is not safe to repeat', () => {
    const row = makeRow({ safeToRepeat: false, fanOut: 'key', services: ['svc-2'] });
    const tier = new VirtualTier({ rows: [row] });
    freeze(tier);
    const latencies = [1, 2, 3, 4, 5].map((number) => {
      const fields = { key: 'a', idempotencyKey: makeKey(number) };
      return tier.askAndWait(COORDINATOR, fields)?.latencyMs ?? 0;
    });
    expect(Math.min(...latencies)).toBeGreaterThanOrEqual(500);
  });
});
