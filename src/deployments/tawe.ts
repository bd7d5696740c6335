/** Tawe Quotes Search: lease quotes on pumps, vans and meters, in three zones. */
import { identifier, type PartnerId, type ZoneName } from '../core/identifiers.js';
import type { Deployment, WorkloadItem } from './deployment.js';
import { AT_MOST_ONCE, buildRow, type RowDescription } from './row-defaults.js';

const PARTNER = identifier<PartnerId>('tawe');

const workloadItem = (share: number, keys: number, description: RowDescription): WorkloadItem => ({
  row: buildRow(PARTNER, description),
  share,
  keys,
});

/** Number of distinct keys in queries of rows with fan-out `key`. */
const DISTINCT_KEYS = 500;

const WORKLOAD: readonly WorkloadItem[] = [
  workloadItem(4, 0, {
    route: 'quote',
    kind: 'builder',
    services: ['quote-builder-*', 'tender-archive-*'],
    weight: 4,
    deadlineMs: 1_000,
  }),
  workloadItem(3, 0, {
    route: 'renewal',
    kind: 'check',
    services: ['quote-builder-*'],
    merge: 'top',
    maxItems: 5,
    weight: 2,
    deadlineMs: 800,
  }),
  workloadItem(6, DISTINCT_KEYS, {
    route: 'ledger',
    kind: 'lookup',
    services: ['ledger-desk*'],
    fanOut: 'key',
    maxItems: 50,
    weight: 3,
    deadlineMs: 1_500,
  }),
  workloadItem(3, DISTINCT_KEYS, {
    ...AT_MOST_ONCE,
    route: 'ledger',
    kind: 'change',
    services: ['ledger-desk*'],
    weight: 3,
    deadlineMs: 1_500,
  }),
  workloadItem(2, 0, {
    route: 'assets',
    kind: 'total',
    services: ['asset-register*'],
    merge: 'sum',
    maxItems: 20,
    deadlineMs: 2_000,
  }),
];

/** The deployment of partner `tawe`, with its current sizes. */
export const TAWE: Deployment = {
  partner: PARTNER,
  title: 'Tawe Quotes Search',
  region: 'south-wales',
  zones: ['swansea-hall', 'neath-hall', 'llanelli-hall'].map((zone) => identifier<ZoneName>(zone)),
  zoneLatencyMs: 1,
  clientLatencyMs: 3,
  connectionOpeningMs: 1,
  groups: [
    {
      name: 'quote-builder',
      services: 8,
      replicasPerService: 2,
      slots: 2,
      connections: 70,
      shardsPerService: 2,
      medianServiceMs: 8,
    },
    {
      name: 'tender-archive',
      services: 12,
      replicasPerService: 2,
      slots: 2,
      connections: 70,
      shardsPerService: 2,
      medianServiceMs: 8,
    },
    {
      name: 'ledger-desk',
      services: 1,
      replicasPerService: 4,
      slots: 3,
      connections: 110,
      shardsPerService: 4,
      medianServiceMs: 8,
    },
    {
      name: 'asset-register',
      services: 1,
      replicasPerService: 3,
      slots: 3,
      connections: 110,
      shardsPerService: 3,
      medianServiceMs: 8,
    },
  ],
  rows: WORKLOAD.map((item) => item.row),
  workload: WORKLOAD,
};
