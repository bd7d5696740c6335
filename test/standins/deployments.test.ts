import { describe, expect, it } from 'vitest';
import { deriveInForce } from '../../src/core/configuration/derive-in-force.js';
import { ENSEMBLE } from '../../src/deployments/ensemble.js';
import { TAWE } from '../../src/deployments/tawe.js';
import { buildInitialObjects } from '../../src/deployments/initial-objects.js';
import { placeReplicas } from '../../src/deployments/placement.js';
import { scaleDeployment } from '../../src/deployments/deployment.js';

const countByService = (deployment: typeof ENSEMBLE): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { service } of placeReplicas(deployment)) {
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  return counts;
};

describe('deployments', () => {
  it('have the current sizes of the partners', () => {
    expect(placeReplicas(ENSEMBLE)).toHaveLength(16 + 24 + 14 + 7);
    expect(placeReplicas(TAWE)).toHaveLength(16 + 24 + 4 + 3);
    expect(countByService(ENSEMBLE).get('booking-desk-8')).toBe(2);
    expect(countByService(TAWE).get('ledger-desk')).toBe(4);
  });

  it('place the two replicas of a service in different zones', () => {
    for (const deployment of [ENSEMBLE, TAWE]) {
      const zones = placeReplicas(deployment)
        .filter(({ group }) => group.replicasPerService === 2)
        .reduce((byService, { service, zone }) => {
          byService.set(service, (byService.get(service) ?? new Set<string>()).add(zone));
          return byService;
        }, new Map<string, Set<string>>());
      expect([...zones.values()].every((used) => used.size === 2)).toBe(true);
    }
  });

  it('provide initial objects that form a complete configuration in force', () => {
    const objects = buildInitialObjects([ENSEMBLE, TAWE], () => ({ host: '127.0.0.1', port: 1 }));
    const inForce = deriveInForce(objects);
    expect(inForce.rows.size).toBe(ENSEMBLE.rows.length + TAWE.rows.length);
    expect(inForce.layouts.get(ENSEMBLE.partner)?.snapshots[0]?.shards).toHaveLength(
      8 * 4 + 12 * 2 + 14 + 7,
    );
    expect(inForce.services.get(TAWE.partner)?.size).toBe(8 + 12 + 1 + 1);
    expect(inForce.agreement?.shares.map(({ share }) => share)).toEqual([0.5, 0.5]);
    expect(objects.map(({ revision }) => revision)).toEqual(objects.map((_, index) => index + 1));
    expect(new Set(objects.map(({ name }) => name)).size).toBe(objects.length);
  });

  it('scale the numbers of services and replicas', () => {
    const scaled = scaleDeployment(ENSEMBLE, { services: 10, replicas: 3 });
    expect(placeReplicas(scaled)).toHaveLength(80 * 6 + 120 * 6 + 10 * 42 + 10 * 21);
  });
});
