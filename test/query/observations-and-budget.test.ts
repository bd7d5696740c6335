import { describe, expect, it } from 'vitest';
import type { SendLink } from '../../src/core/effect.js';
import type { NodeId } from '../../src/core/identifiers.js';
import {
  spendExtraLoadOnCredit,
  createExtraLoadBudget,
  creditExtraLoad,
  spendExtraLoad,
} from '../../src/core/query/extra-load-budget.js';
import type { Random } from '../../src/core/random.js';
import { makeKey, makeRow, VirtualTier } from './virtual-tier.js';

const firstNode = (tier: VirtualTier): NodeId => tier.nodeIds[0] as NodeId;

describe('duplicate messages', () => {
  it('leave the in-flight counts of replicas and peers correct', () => {
    const tier = new VirtualTier({ nodesPerZone: 3, services: 8 });
    tier.onMessage = () => 2;
    for (let round = 0; round < 20; round += 1) {
      tier.askAndWait(firstNode(tier));
    }
    tier.runFor(100);
    for (const id of tier.nodeIds) {
      const { observations, peers } = tier.state(id).query;
      const left = [...observations.replicas.values(), ...peers.values()];
      expect(left.every((each) => each.inFlight === 0)).toBe(true);
    }
    expect(tier.state(firstNode(tier)).counters.answers_doubled).toBeGreaterThan(0);
  });

  it('run no request twice that is not safe to repeat, however late the duplicate arrives', () => {
    const rows = [makeRow({ safeToRepeat: false, fanOut: 'key' })];
    const tier = new VirtualTier({ rows, nodesPerZone: 3 });
    const batches: SendLink[] = [];
    tier.onMessage = (effect) => {
      if (effect.message.type === 'leg-batch') {
        batches.push(effect);
      }
      return 1;
    };
    for (let number = 0; number < 12; number += 1) {
      const fields = { key: `h-${number}`, idempotencyKey: makeKey(number) };
      tier.askAndWait(firstNode(tier), fields);
    }
    tier.runFor(1_000);
    expect(batches.length).toBeGreaterThan(0);
    const from = firstNode(tier);
    for (const { to, message } of batches) {
      tier.deliver(to, { type: 'link-message-arrived', at: tier.now, from, message });
    }
    tier.runFor(1_000);
    expect(tier.replicas.flatMap((replica) => replica.ran)).toHaveLength(12);
  });
});

describe('the extra-load budget', () => {
  it('spends its credit, allows a bounded debt and never exceeds its capacity', () => {
    const budget = createExtraLoadBudget(0.02);
    creditExtraLoad(budget, 0.02, 100);
    let spent = 0;
    while (spendExtraLoad(budget)) {
      spent += 1;
    }
    expect(spent).toBe(4);
    let borrowed = 0;
    while (spendExtraLoadOnCredit(budget)) {
      borrowed += 1;
    }
    expect(borrowed).toBe(50);
    creditExtraLoad(budget, 0.02, 2_400);
    expect(spendExtraLoad(budget)).toBe(false);
    creditExtraLoad(budget, 0.02, 1_000_000);
    expect(budget.tokens).toBeLessThanOrEqual(8);
  });

  it('bounds hedges when far more legs are slow than it can pay for', () => {
    const slow = (random: Random): number => (random.next() < 0.15 ? 60 : 4);
    const rows = [makeRow({ extraLoadLimit: 0.02, deadlineMs: 1_000 })];
    const tier = new VirtualTier({ services: 8, rows, serviceMs: slow });
    const calls: string[] = [];
    for (let round = 0; round < 300; round += 1) {
      calls.push(tier.ask(tier.nodeIds[round % 2] as NodeId));
      tier.runFor(15);
    }
    tier.runFor(1_000);
    const costs = calls.map((call) => tier.answers.get(call)?.outcome.cost);
    const sent = costs.reduce((sum, cost) => sum + (cost?.sent ?? 0), 0);
    const needed = costs.reduce((sum, cost) => sum + (cost?.needed ?? 0), 0);
    // Each of the two nodes starts with the credit of 100 legs.
    expect(sent - needed).toBeLessThanOrEqual(0.02 * (needed + 200));
    expect(sent - needed).toBeGreaterThan(0.01 * needed);
  });
});

describe('an ejection', () => {
  const ejectFirst = (tier: VirtualTier, count: number): void => {
    tier.askAndWait(firstNode(tier));
    const observed = [...tier.state(firstNode(tier)).query.observations.replicas.values()];
    for (const each of observed.slice(0, count)) {
      Object.assign(each, { ejected: true, probeAt: Number.POSITIVE_INFINITY });
    }
  };

  const countLegsAfterEjection = (replicasPerService: number, ejected: number): number[] => {
    const tier = new VirtualTier({ services: 1, replicasPerService });
    ejectFirst(tier, ejected);
    const before = tier.replicas.map((replica) => replica.ran.length);
    for (let round = 0; round < 60; round += 1) {
      tier.askAndWait(firstNode(tier));
    }
    return tier.replicas.map((replica, index) => replica.ran.length - (before[index] as number));
  };

  it('excludes the replica from work', () => {
    expect(countLegsAfterEjection(2, 1)[0]).toBe(0);
    expect(countLegsAfterEjection(3, 1)[0]).toBe(0);
  });

  it('never excludes a majority of the replicas of a shard', () => {
    const [first = 0, second = 0] = countLegsAfterEjection(3, 2);
    expect(first + second).toBeGreaterThan(20);
  });

  it('does not exclude the only replica of a shard', () => {
    expect(countLegsAfterEjection(1, 1)[0]).toBe(120);
  });
});

describe('a replica that refuses a snapshot which the platform lists for it', () => {
  it('is rarely sent legs for that snapshot again', () => {
    const tier = new VirtualTier();
    const lacking = tier.replicas[0] as { status: object };
    lacking.status = { ...lacking.status, snapshots: [] };
    for (let round = 0; round < 100; round += 1) {
      expect(tier.askAndWait(firstNode(tier))?.outcome).toMatchObject({ contributed: 8 });
    }
    expect(tier.state(firstNode(tier)).counters.replica_failures).toBeLessThanOrEqual(4);
  });
});
