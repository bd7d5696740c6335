import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import { makeRow, VirtualTier } from './virtual-tier.js';

const COORDINATOR = 'bole-0' as NodeId;
/** Feeds the only replica of the tier, by rendezvous hashing. */
const FEEDER = 'bole-2' as NodeId;

describe('the log of a query that ends without required shards', () => {
  // A frozen feeder and a frozen replica look alike to callers: the log has to tell them apart.
  it('names the silent feeder and is limited in rate', () => {
    const rows = [makeRow({ hedging: false })];
    const policy = { retries: false };
    const one = { services: 1, replicasPerService: 1 };
    const tier = new VirtualTier({ nodesPerZone: 3, ...one, rows, policy });
    tier.pause(FEEDER);
    for (let query = 0; query < 5; query += 1) {
      tier.ask(COORDINATOR);
    }
    tier.runFor(500);
    expect(tier.queryLog).toHaveLength(1);
    expect(tier.queryLog[0]).toContain('0 of 2 required shards after 500 of 500 ms');
    expect(tier.queryLog[0]).toContain('through bole-2 (alive, last report 500 ms ago)');
    tier.replicas.forEach((replica) => (replica.mode = 'frozen'));
    tier.askAndWait(COORDINATOR);
    expect(tier.queryLog).toHaveLength(2);
    expect(tier.queryLog[1]).toContain('4 not logged before');
  });
});
