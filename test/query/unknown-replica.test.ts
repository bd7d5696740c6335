import { describe, expect, it } from 'vitest';
import type { NodeId } from '../../src/core/identifiers.js';
import { VirtualTier } from './virtual-tier.js';

const COORDINATOR = 'bole-0' as NodeId;
const NEW_NODE = 'bole-1' as NodeId;

describe('a new feeder that does not know the replicas yet', () => {
  it('does not reduce the coverage of queries, although it is sent legs as soon as it is a member', () => {
    const tier = new VirtualTier({ nodesPerZone: 3, services: 24 });
    const { configuration } = tier.state(NEW_NODE);
    configuration.inForce = { ...configuration.inForce, services: new Map() };
    const outcomes = Array.from({ length: 20 }, () => tier.askAndWait(COORDINATOR)?.outcome);
    outcomes.forEach((outcome) => {
      expect(outcome).toMatchObject({ type: 'answered', missing: [] });
    });
  });
});
