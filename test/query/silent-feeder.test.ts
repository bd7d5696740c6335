import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import { makeRow, VirtualTier } from './virtual-tier.js';

const COORDINATOR = 'bole-0' as NodeId;
/** Feeds the only replica of the tier, by rendezvous hashing. */
const FEEDER = 'bole-2' as NodeId;
const DEADLINE_MS = 2_000;

/** A tier of a row without hedging, whose feeder is paused after a first query. */
const createTierWithSilentFeeder = (): VirtualTier => {
  const rows = [makeRow({ hedging: false, deadlineMs: DEADLINE_MS })];
  const tier = new VirtualTier({ nodesPerZone: 3, services: 1, replicasPerService: 1, rows });
  tier.askAndWait(COORDINATOR);
  tier.pause(FEEDER);
  return tier;
};

const askTogether = (tier: VirtualTier, queries: number): string[] =>
  Array.from({ length: queries }, () => tier.ask(COORDINATOR));

describe('a feeder that falls silent', () => {
  // Once all queries in progress had ended at their deadlines, the next ones were sent to the same silent feeder again,
  // and answered without any shard although all replicas were running.
  it('gets no further queries after those in progress have ended without its report', () => {
    const tier = createTierWithSilentFeeder();
    askTogether(tier, 3);
    tier.runFor(DEADLINE_MS);
    const calls = askTogether(tier, 3);
    tier.runFor(DEADLINE_MS);
    for (const call of calls) {
      expect(tier.answers.get(call)?.outcome).toMatchObject({ type: 'answered', missing: [] });
    }
  });

  // Queries in progress waited for it until their deadline, and were answered without any shard.
  it('delays queries in progress, which another feeder then answers whole', () => {
    const tier = createTierWithSilentFeeder();
    const answer = tier.askAndWait(COORDINATOR);
    expect(answer?.outcome).toMatchObject({ type: 'answered', missing: [], cost: { retries: 2 } });
    expect(answer?.latencyMs).toBeLessThan(0.3 * DEADLINE_MS);
  });

  // The replicas behind it were ejected, and queries that another node fed were given up before their deadline.
  it('does not make its replicas look unable to answer', () => {
    const tier = createTierWithSilentFeeder();
    tier.askAndWait(COORDINATOR);
    tier.replicas.forEach((replica) => (replica.serviceMs = () => 0.4 * DEADLINE_MS));
    expect(tier.askAndWait(COORDINATOR)?.outcome).toMatchObject({ type: 'answered', missing: [] });
  });
});
