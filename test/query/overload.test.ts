import { describe, expect, it } from 'vitest';
import type { NodeId, PartnerId } from '../../src/core/identifiers.js';
import type { Random } from '../../src/core/random.js';
import { type Answer, ENSEMBLE, makeRow, TAWE, VirtualTier } from './virtual-tier.js';

const SERVICES = 10;
const SLOTS = 5;
const MEAN_MS = 5;

const sampleServiceMs = (random: Random): number => 2.5 - 1.5 * Math.log(1 - random.next());

const createTier = (): VirtualTier =>
  new VirtualTier({
    zones: ['bole', 'arada'],
    services: SERVICES,
    shardsPerService: 1,
    slots: SLOTS,
    serviceMs: sampleServiceMs,
    rows: [makeRow({ deadlineMs: 1_000 }), makeRow({ partner: TAWE, deadlineMs: 1_000 })],
    shares: [
      { partner: ENSEMBLE, share: 0.5 },
      { partner: TAWE, share: 0.5 },
    ],
  });

/** Queries per millisecond that the slots of all replicas can serve. */
const CAPACITY = (SERVICES * 2 * SLOTS) / MEAN_MS / SERVICES;

const sendQueries = (
  tier: VirtualTier,
  partner: PartnerId,
  perMs: number,
  until: number,
): string[] => {
  const calls: string[] = [];
  const next = (): void => {
    calls.push(tier.ask(tier.nodeIds[calls.length % 4] as NodeId, { partner }));
    const gap = -Math.log(1 - tier.random.next()) / perMs;
    if (tier.now + gap < until) {
      tier.after(gap, next);
    }
  };
  next();
  return calls;
};

const p99 = (answers: readonly Answer[]): number => {
  const sorted = answers.map((answer) => answer.latencyMs).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.99)] as number;
};

const isWhole = ({ outcome }: Answer): boolean =>
  outcome.type === 'answered' && outcome.contributed === outcome.shards;

const answersTo = (tier: VirtualTier, calls: readonly string[]): Answer[] =>
  calls.map((call) => tier.answers.get(call) as Answer);

describe('a partner that sends 5 times the capacity', () => {
  const alone = createTier();
  const aloneCalls = sendQueries(alone, ENSEMBLE, CAPACITY / 5, alone.now + 3_000);
  alone.runFor(4_500);

  const tier = createTier();
  const begin = tier.now + 1_000;
  const calls = sendQueries(tier, ENSEMBLE, CAPACITY / 5, begin + 3_000);
  tier.runUntil(begin);
  const flood = sendQueries(tier, TAWE, 5 * CAPACITY, begin + 3_000);
  tier.runFor(4_500);

  it('causes no refusal, no missing shard and little latency for the other partner', () => {
    const others = answersTo(tier, calls);
    expect(others.every(isWhole)).toBe(true);
    const during = others.filter((answer) => answer.askedAt > begin);
    expect(p99(during)).toBeLessThan(1.15 * p99(answersTo(alone, aloneCalls)));
  });

  it('is refused at once as not run, with a retry delay', () => {
    const refused = answersTo(tier, flood).filter(({ outcome }) => outcome.type === 'not-run');
    expect(refused.length).toBeGreaterThan(flood.length / 2);
    for (const { outcome, latencyMs } of refused) {
      expect(outcome).toMatchObject({ type: 'not-run', reason: 'overloaded' });
      expect(outcome).toHaveProperty('retryAfterMs');
      expect(latencyMs).toBe(0);
    }
  });

  it('does not reduce the use of the capacity', () => {
    const settled = [...answersTo(tier, calls), ...answersTo(tier, flood)].filter(
      (answer) => answer.askedAt > begin + 500 && isWhole(answer),
    );
    expect(settled.length / (2_500 * CAPACITY)).toBeGreaterThan(0.9);
  });

  it('is served in full again after the overload', () => {
    const later = sendQueries(tier, TAWE, CAPACITY / 10, tier.now + 500);
    tier.runFor(2_000);
    expect(answersTo(tier, later).every(isWhole)).toBe(true);
  });
});

describe('a leg that cannot finish before its deadline', () => {
  it('is not started', () => {
    const tier = new VirtualTier({ services: 1, replicasPerService: 1, slots: 1 });
    const replica = tier.replicas[0] as { serviceMs: unknown; ran: unknown[] };
    replica.serviceMs = () => 40;
    tier.askAndWait(tier.nodeIds[0] as NodeId);
    const before = replica.ran.length;
    const calls = Array.from({ length: 10 }, () =>
      tier.ask(tier.nodeIds[0] as NodeId, { deadlineMs: 100 }),
    );
    tier.runFor(300);
    expect(calls.every((call) => tier.answers.has(call))).toBe(true);
    expect(replica.ran.length - before).toBeLessThanOrEqual(3);
  });
});
