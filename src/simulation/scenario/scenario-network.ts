/** Network conditions of a scenario: latencies inside and between zones and regions. */
import type { Deployment } from '../../deployments/deployment.js';
import {
  HEALTHY_NETWORK,
  type LinkConditions,
  type NetworkConditions,
  zonePairKey,
} from '../network-conditions.js';

/** Assumed one-way latency between the regions of two deployments, in milliseconds. */
const BETWEEN_REGIONS_MS = 40;
const JITTER_SHARE = 0.1;

const conditionsFor = (latencyMs: number): LinkConditions => ({
  latencyMs,
  jitterMs: latencyMs * JITTER_SHARE,
  lossShare: 0,
  duplicateShare: 0,
});

const zonePairsOf = (from: Deployment, to: Deployment): string[] =>
  from.zones.flatMap((first) => to.zones.map((second) => zonePairKey(first, second)));

/** Builds the network conditions between all zones of `deployments`. */
export const buildNetwork = (deployments: readonly Deployment[]): NetworkConditions => {
  const pairs = new Map<string, LinkConditions>();
  for (const from of deployments) {
    for (const to of deployments) {
      const latencyMs = from === to ? from.zoneLatencyMs : BETWEEN_REGIONS_MS;
      for (const pair of zonePairsOf(from, to)) {
        pairs.set(pair, conditionsFor(latencyMs));
      }
    }
  }
  return { ...HEALTHY_NETWORK, pairs };
};
