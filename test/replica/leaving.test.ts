import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effect.js';
import type { NodeId } from '../../src/core/identifiers.js';
import {
  isReplicaLeaving,
  recordReplicaLeaving,
} from '../../src/core/membership/replica-rumours.js';
import { step } from '../../src/core/reducer.js';
import type { LegAttempt, LegContext } from '../../src/protocol/leg-messages.js';
import { ENSEMBLE, VirtualTier, type VirtualReplica } from '../query/virtual-tier.js';

const COORDINATOR = 'bole-0' as NodeId;
const FEEDER = 'arada-0' as NodeId;
/** Returns the replica in the other zone, which only `FEEDER` feeds. */
const findLeaving = (tier: VirtualTier): VirtualReplica => tier.replicas[1] as VirtualReplica;

const createTier = (): VirtualTier =>
  new VirtualTier({ zones: ['bole', 'arada'], nodesPerZone: 1, services: 1, slots: 1 });

const recordLeaving = (tier: VirtualTier): void => {
  recordReplicaLeaving(tier.state(FEEDER), findLeaving(tier).status.replica, tier.now);
};

const isKnownLeaving = (tier: VirtualTier, node: NodeId): boolean =>
  isReplicaLeaving(tier.state(node), findLeaving(tier).status.replica, tier.now);

const missingReasons = (tier: VirtualTier): string[] => {
  const outcome = tier.askAndWait(COORDINATOR)?.outcome;
  return outcome?.type === 'answered' ? outcome.missing.map(({ reason }) => reason) : [];
};

const countSent = (effects: readonly Effect[]): number =>
  effects.filter(({ type }) => type === 'send-attempt').length;

describe('the feeder of a leaving replica', () => {
  it('sends it no attempt, even if the only other replica is frozen', () => {
    const tier = createTier();
    (tier.replicas[0] as VirtualReplica).mode = 'frozen';
    recordLeaving(tier);
    const reasons = Array.from({ length: 5 }, () => missingReasons(tier)).flat();
    expect(findLeaving(tier).ran).toEqual([]);
    expect(reasons.length).toBeGreaterThan(0);
  });

  it('reports the remaining time of its own leaving record to the coordinator', () => {
    const tier = createTier();
    recordLeaving(tier);
    tier.runFor(10_000);
    for (let round = 0; round < 10; round += 1) {
      tier.askAndWait(COORDINATOR);
    }
    expect(isKnownLeaving(tier, COORDINATOR)).toBe(true);
    tier.runFor(20_000);
    expect(isKnownLeaving(tier, COORDINATOR)).toBe(false);
  });

  it('refuses its queued attempts once the replica has refused one as leaving', () => {
    const tier = createTier();
    const { replica } = findLeaving(tier).status;
    const context = {
      request: 'r-1',
      partner: ENSEMBLE,
      route: 'roster',
      kind: 'page',
      snapshot: 1,
      safeToRepeat: true,
      maxItems: 10,
      payload: null,
    } as unknown as LegContext;
    const legs = ['a', 'b', 'c'].map(
      (attempt) => ({ attempt, shard: 'svc-0#0', replica }) as unknown as LegAttempt,
    );
    const message = { type: 'leg-batch', context, remainingMs: 500, legs } as const;
    const state = tier.state(FEEDER);
    const arrived = {
      type: 'link-message-arrived',
      at: 1_000,
      from: COORDINATOR,
      message,
    } as const;
    expect(countSent(step(state, arrived))).toBe(1);
    const outcome = { type: 'not-run', reason: 'leaving' } as const;
    const results = [
      { attempt: (legs[0] as LegAttempt).attempt, outcome, queuedMs: 0, serviceMs: 1 },
    ];
    const effects = step(state, { type: 'attempts-ended', at: 1_001, results });
    expect(countSent(effects)).toBe(0);
    expect(state.replica.held.size).toBe(0);
    expect(effects.find(({ type }) => type === 'send-link')).toMatchObject({
      message: { results: legs.map(({ attempt }) => ({ attempt, outcome })) },
    });
  });
});
