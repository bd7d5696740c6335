/** The store objects of the benchmark: one partner, one row and services with capacity for all legs. */
import { hashSecret } from '../../auth/hash-secret.js';
import type { StoreContent, StoreObject } from '../../catalog/store-object.js';
import { identifier, type PartnerId } from '../../core/identifiers.js';
import { objectNameOf } from '../../deployments/initial-objects.js';
import type { RouteRow } from '../../table/route-row.js';
import { BENCH, shardName } from './bench-leg.js';

/** Slots and connections of a replica; the benchmark never uses all of them. */
const SLOTS = 16;
const CONNECTIONS = 64;

const PARTNER = identifier<PartnerId>(BENCH.partner);

const ROW: RouteRow = {
  partner: PARTNER,
  route: identifier(BENCH.route),
  kind: identifier(BENCH.kind),
  services: ['roster-*'],
  fanOut: 'all',
  merge: 'concatenate',
  maxItems: 1_000,
  weight: 1,
  deadlineMs: 5_000,
  coverage: 1,
  safeToRepeat: true,
  extraLoadLimit: 0,
  hedging: false,
  snapshotPolicy: 'covered',
};

const SHEET: StoreContent = {
  type: 'sheet',
  sheet: {
    partner: PARTNER,
    rows: [{ rowVersion: 1, writtenBy: 'bench', row: ROW }],
    history: [],
  },
};

const KEYS: StoreContent = {
  type: 'keys',
  keys: {
    partner: PARTNER,
    keys: [{ name: 'bench', role: 'caller', sha256: hashSecret(BENCH.secret).toString('hex') }],
  },
};

const layoutOf = (services: number, shards: number): StoreContent => ({
  type: 'layout',
  layout: {
    partner: PARTNER,
    snapshots: [
      {
        version: 1,
        shards: Array.from({ length: shards }, (_, index) => ({
          shard: identifier(shardName(index)),
          service: identifier(`roster-${index % services}`),
        })),
      },
    ],
  },
});

const statusOf = (port: number, index: number): StoreContent => ({
  type: 'status',
  status: {
    partner: PARTNER,
    service: identifier(`roster-${index}`),
    replicas: [
      {
        replica: identifier(`roster-${index}-r0`),
        zone: identifier('bench'),
        host: '127.0.0.1',
        port,
        slots: SLOTS,
        connections: CONNECTIONS,
        lifecycle: 'ready',
        snapshots: [1],
      },
    ],
  },
});

const contents = (ports: readonly number[], shards: number): StoreContent[] => [
  SHEET,
  KEYS,
  layoutOf(ports.length, shards),
  ...ports.map(statusOf),
];

/** Returns the store objects for replicas at `ports` and this number of shards. */
export const benchObjects = (ports: readonly number[], shards: number): StoreObject[] =>
  contents(ports, shards).map((content, index) => ({
    name: objectNameOf(content),
    version: 1,
    revision: index + 1,
    content,
  }));
