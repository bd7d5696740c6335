import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import type { QueryPolicy } from '../../src/core/query/query-policy.js';
import type { AttemptOutcome, LegResult } from '../../src/protocol/leg-messages.js';
import type { Answer } from '../query/virtual-tier.js';
import { makeRow, type TierOptions, VirtualTier } from '../query/virtual-tier.js';

const WAIT_MS = 2;
const SEED = 7;
const SERVICES = 24;

/** Adds items that several shards share; integer scores make sums independent of the order. */
const withSharedItems = (outcome: AttemptOutcome): AttemptOutcome => {
  if (outcome.type !== 'answered') {
    return outcome;
  }
  const number = [...outcome.shard].reduce((sum, letter) => sum + letter.charCodeAt(0), 0);
  const items = [0, 1, 2].map((place) => ({
    id: `item-${(number * (place + 1)) % 17}`,
    score: (number * 31 + place * 7) % 101,
    value: outcome.shard,
  }));
  return { ...outcome, items };
};

interface ObservedTier {
  readonly tier: VirtualTier;
  /** Lists of results sent between nodes, one for each message. */
  readonly batches: (readonly LegResult[])[];
}

const createTier = (
  options: TierOptions,
  policy: Partial<QueryPolicy>,
  copies = 1,
): ObservedTier => {
  const tier = new VirtualTier({
    nodesPerZone: 3,
    services: SERVICES,
    serviceMs: (random) => 4 + 10 * random.next(),
    ...options,
    policy: { hedging: 'none', replicaChoice: 'random', ...policy },
  });
  tier.replicas.forEach((replica) => (replica.transformOutcome = withSharedItems));
  const batches: (readonly LegResult[])[] = [];
  tier.onMessage = ({ message }) => {
    if (message.type === 'leg-results') {
      batches.push(message.results);
    }
    return copies;
  };
  return { tier, batches };
};

const firstNode = (tier: VirtualTier): NodeId => tier.nodeIds[0] as NodeId;

const askOnce = ({ tier }: ObservedTier, fields = {}): Answer => {
  const answer = tier.askAndWait(firstNode(tier), fields);
  if (answer?.outcome.type !== 'answered') {
    throw new Error(`expected an answer, got ${JSON.stringify(answer?.outcome)}`);
  }
  return answer;
};

const listHeld = ({ batches }: ObservedTier): number[] =>
  batches.flat().flatMap(({ heldMs }) => (heldMs === undefined ? [] : [heldMs]));

describe('delayed results', () => {
  it('give the same answer at the same time for each merge, also with duplicate messages', () => {
    const merge = fc.constantFrom('top', 'concatenate', 'sum');
    const copies = fc.constantFrom(1, 2);
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 10_000 }), merge, copies, (seed, rule, count) => {
        const options = { seed, rows: [makeRow({ merge: rule })] };
        const atOnce = askOnce(createTier(options, { resultWaitMs: 0 }));
        const waited = askOnce(createTier(options, { resultWaitMs: WAIT_MS }, count));
        expect({ ...waited.outcome, request: '' }).toEqual({ ...atOnce.outcome, request: '' });
        expect(waited.latencyMs).toBeCloseTo(atOnce.latencyMs, 6);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });

  it('need at least 40% fewer messages and are delayed no longer than allowed', () => {
    const atOnce = createTier({}, { resultWaitMs: 0 });
    const waited = createTier({}, { resultWaitMs: WAIT_MS });
    askOnce(atOnce);
    askOnce(waited);
    expect(listHeld(atOnce)).toEqual([]);
    expect(waited.batches.length).toBeLessThan(0.6 * atOnce.batches.length);
    expect(listHeld(waited).length).toBeGreaterThan(0);
    expect(Math.max(...listHeld(waited))).toBeLessThanOrEqual(WAIT_MS + 1e-6);
  });

  it('do not change the observed latency of services', () => {
    const slowest = ({ tier }: ObservedTier): number[] => {
      const { services } = tier.state(firstNode(tier)).query.observations;
      return [...services.values()].map(({ latencyMs }) => Math.round(latencyMs * 1_000));
    };
    const atOnce = createTier({}, { resultWaitMs: 0 });
    const waited = createTier({}, { resultWaitMs: WAIT_MS });
    askOnce(atOnce);
    askOnce(waited);
    expect(slowest(waited)).toEqual(slowest(atOnce));
  });
});

describe('a result is not delayed', () => {
  it('when any answer may be the one that ends the query', () => {
    const watched = createTier({}, { resultWaitMs: WAIT_MS });
    askOnce(watched, { coverage: 0.9 });
    expect(listHeld(watched)).toEqual([]);
  });

  it('when the deadline is near', () => {
    const watched = createTier({}, { resultWaitMs: WAIT_MS });
    askOnce(watched, { deadlineMs: 40 });
    expect(listHeld(watched)).toEqual([]);
  });

  it('when it is not an answer', () => {
    const watched = createTier({}, { resultWaitMs: WAIT_MS });
    watched.tier.replicas.slice(0, SERVICES).forEach((replica) => (replica.mode = 'shedding'));
    watched.tier.askAndWait(firstNode(watched.tier));
    const refused = watched.batches.flat().filter(({ outcome }) => outcome.type === 'not-run');
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.every(({ heldMs }) => heldMs === undefined)).toBe(true);
  });

  it('any longer when its node starts to stop', () => {
    const { tier } = createTier({}, { resultWaitMs: 1_000 });
    tier.ask(firstNode(tier));
    tier.runFor(9);
    const feeders = tier.nodeIds.filter((id) => tier.state(id).replica.delayedResults.size > 0);
    expect(feeders.length).toBeGreaterThan(0);
    for (const id of feeders) {
      tier.deliver(id, { type: 'stop-requested', at: tier.now });
      expect(tier.state(id).replica.delayedResults.size).toBe(0);
    }
  });

  it('but discarded when its coordinator has crashed', () => {
    const { tier, batches } = createTier({}, { resultWaitMs: 20 });
    tier.ask(firstNode(tier));
    tier.runFor(9);
    const sent = batches.length;
    tier.kill(firstNode(tier));
    tier.runFor(100);
    expect(batches).toHaveLength(sent);
    expect(tier.nodeIds.every((id) => tier.state(id).replica.delayedResults.size === 0)).toBe(true);
  });
});
