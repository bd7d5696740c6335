import { describe, expect, it } from 'vitest';
import { identifier, type ReplicaId } from '../../src/core/identifiers.js';
import {
  isReplicaLeaving,
  recordReplicaLeaving,
} from '../../src/core/membership/replica-rumours.js';
import { VirtualCluster } from '../support/virtual-cluster.js';

const REPLICA = identifier<ReplicaId>('booking-desk-3-r1');
const SEEDS = [1, 2, 3, 4, 5];

const startCluster = (seed: number): VirtualCluster => {
  const cluster = new VirtualCluster({ seed, lossShare: 0.01 });
  cluster.startMany(12, ['bole', 'arada', 'kirkos', 'yeka']);
  cluster.runUntil(() => cluster.isConverged(), 5_000);
  cluster.run(5_000);
  return cluster;
};

const recordLeaving = (cluster: VirtualCluster, id: string): void => {
  cluster.apply(cluster.node(id), (state, at) => recordReplicaLeaving(state, REPLICA, at));
};

const countInformedNodes = (cluster: VirtualCluster): number =>
  cluster
    .running()
    .filter((node) => isReplicaLeaving(node.state, REPLICA, cluster.now + node.clockOffset)).length;

describe('a leaving replica', () => {
  it.each(SEEDS)('is known to every node within 2 s of the first sign (seed %i)', (seed) => {
    const cluster = startCluster(seed);
    recordLeaving(cluster, 'node-4');
    const durationMs = cluster.runUntil(() => countInformedNodes(cluster) === 12, 5_000);
    expect(durationMs).toBeLessThanOrEqual(2_000);
  });

  it('is used again when its rumour has expired', () => {
    const cluster = startCluster(6);
    recordLeaving(cluster, 'node-4');
    cluster.run(25_000);
    expect(countInformedNodes(cluster)).toBe(12);
    cluster.run(10_000);
    expect(countInformedNodes(cluster)).toBe(0);
  });

  it('is still known everywhere while further signs are recorded', () => {
    const cluster = startCluster(7);
    for (let round = 0; round < 6; round += 1) {
      recordLeaving(cluster, 'node-4');
      recordLeaving(cluster, 'node-9');
      cluster.run(10_000);
    }
    expect(countInformedNodes(cluster)).toBe(12);
  });
});
