/** The Ensemble Scheduling Authority: bookings of halls, choirs and bands, in four zones. */
import { identifier, type PartnerId, type ZoneName } from '../core/identifiers.js';
import type { Deployment, WorkloadItem } from './deployment.js';
import { AT_MOST_ONCE, buildRow, type RowDescription } from './row-defaults.js';

const PARTNER = identifier<PartnerId>('ensemble');

const workloadItem = (share: number, keys: number, description: RowDescription): WorkloadItem => ({
  row: buildRow(PARTNER, description),
  share,
  keys,
});

/** Number of distinct keys in queries of rows with fan-out `key`. */
const DISTINCT_KEYS = 500;

const WORKLOAD: readonly WorkloadItem[] = [
  workloadItem(6, 0, {
    route: 'season-roster',
    kind: 'page',
    services: ['booking-desk-*'],
    weight: 4,
    deadlineMs: 600,
  }),
  workloadItem(3, 0, {
    route: 'hall-swap',
    kind: 'top',
    services: ['booking-desk-*'],
    merge: 'top',
    maxItems: 5,
    weight: 4,
    deadlineMs: 400,
  }),
  workloadItem(6, DISTINCT_KEYS, {
    route: 'ensemble-history',
    kind: 'clerk',
    services: ['clerk-records*'],
    fanOut: 'key',
    maxItems: 50,
    deadlineMs: 3_000,
  }),
  workloadItem(4, DISTINCT_KEYS, {
    ...AT_MOST_ONCE,
    route: 'booking',
    kind: 'book',
    services: ['booking-desk-*'],
    weight: 3,
    deadlineMs: 1_500,
  }),
  workloadItem(2, 0, {
    route: 'festival-notices',
    kind: 'digest',
    services: ['festival-notices-*'],
    coverage: 0.95,
    deadlineMs: 1_000,
  }),
  workloadItem(2, 0, {
    route: 'payroll',
    kind: 'total',
    services: ['payroll-link*'],
    merge: 'sum',
    maxItems: 20,
    deadlineMs: 3_000,
  }),
];

/** The deployment of partner `ensemble`, with its current sizes. */
export const ENSEMBLE: Deployment = {
  partner: PARTNER,
  title: 'Ensemble Scheduling Authority',
  region: 'addis',
  zones: ['bole', 'arada', 'kirkos', 'yeka'].map((zone) => identifier<ZoneName>(zone)),
  zoneLatencyMs: 1,
  clientLatencyMs: 1,
  connectionOpeningMs: 1,
  groups: [
    {
      name: 'booking-desk',
      services: 8,
      replicasPerService: 2,
      slots: 5,
      connections: 70,
      shardsPerService: 4,
      medianServiceMs: 6,
    },
    {
      name: 'festival-notices',
      services: 12,
      replicasPerService: 2,
      slots: 5,
      connections: 70,
      shardsPerService: 2,
      medianServiceMs: 8,
    },
    {
      name: 'clerk-records',
      services: 1,
      replicasPerService: 14,
      slots: 2,
      connections: 110,
      shardsPerService: 14,
      medianServiceMs: 12,
    },
    {
      name: 'payroll-link',
      services: 1,
      replicasPerService: 7,
      slots: 2,
      connections: 110,
      shardsPerService: 7,
      medianServiceMs: 15,
    },
  ],
  rows: WORKLOAD.map((item) => item.row),
  workload: WORKLOAD,
};
