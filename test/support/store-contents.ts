/** Contents of store objects for tests. */
import type { StoreContent } from '../../src/catalog/store-object.js';
import { identifier, type PartnerId } from '../../src/core/identifiers.js';

/** Returns a sheet of `partner` whose history contains `edits` accepted edits. */
export const sheetOf = (partner: string, edits = 0): StoreContent => ({
  type: 'sheet',
  sheet: {
    partner: identifier<PartnerId>(partner),
    rows: [],
    history: Array.from({ length: edits }, (_, index) => ({
      edit: identifier(`edit-${index}`),
      operator: 'abebe',
      writtenAt: index,
      reason: 'season',
      digest: index,
      rows: [],
      sheetVersion: index + 1,
    })),
  },
});

/** Returns the status of a service with `replicas` replicas. */
export const statusOf = (partner: string, service: string, replicas = 2): StoreContent => ({
  type: 'status',
  status: {
    partner: identifier<PartnerId>(partner),
    service: identifier(service),
    replicas: Array.from({ length: replicas }, (_, index) => ({
      replica: identifier(`${service}-r${index}`),
      zone: identifier('bole'),
      host: '127.0.0.1',
      port: 10_000 + index,
      slots: 5,
      connections: 70,
      lifecycle: 'ready',
      snapshots: [1],
    })),
  },
});
