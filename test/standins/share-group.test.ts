import { describe, expect, it } from 'vitest';
import { ENSEMBLE } from '../../src/deployments/ensemble.js';
import { placeReplicas } from '../../src/deployments/placement.js';
import { shareGroup } from '../../src/deployments/share-group.js';
import type { ServiceGroup } from '../../src/deployments/deployment.js';
import { TAWE } from '../../src/deployments/tawe.js';

const DESK = ENSEMBLE.groups.find(({ name }) => name === 'booking-desk') as ServiceGroup;
const SHARED = shareGroup(ENSEMBLE, DESK, TAWE);

const listDesk = (deployment: typeof ENSEMBLE): unknown[] =>
  placeReplicas(deployment)
    .filter(({ group }) => group.name === DESK.name)
    .map(({ service, replica, zone }) => ({ service, replica, zone }));

describe('group shared by two partners', () => {
  it('has the same replicas in the same zones for both', () => {
    expect(listDesk(SHARED)).toHaveLength(16);
    expect(listDesk(SHARED)).toEqual(listDesk(ENSEMBLE));
  });

  it('replaces only the services that the multi-service rows of the borrower used', () => {
    const servicesOf = (route: string): unknown[] =>
      SHARED.rows.filter((row) => row.route === route).map(({ services }) => services);
    expect(servicesOf('quote')).toEqual([['booking-desk-*']]);
    expect(servicesOf('renewal')).toEqual([['booking-desk-*']]);
    expect(servicesOf('ledger')).toEqual([['ledger-desk*'], ['ledger-desk*']]);
    expect(SHARED.workload.map(({ row }) => row)).toEqual(SHARED.rows);
  });
});
