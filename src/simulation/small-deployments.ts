/** Two small deployments that cover the features of the real ones with few nodes. */
import { identifier, type PartnerId } from '../core/identifiers.js';
import type { Deployment } from '../deployments/deployment.js';
import { AT_MOST_ONCE, buildRow } from '../deployments/row-defaults.js';

const ENSEMBLE = identifier<PartnerId>('ensemble');
const TAWE = identifier<PartnerId>('tawe');

const SMALL_DEPLOYMENT = {
  zoneLatencyMs: 1,
  clientLatencyMs: 1,
  connectionOpeningMs: 1,
  workload: [],
} as const;

const SMALL_ENSEMBLE: Deployment = {
  ...SMALL_DEPLOYMENT,
  partner: ENSEMBLE,
  title: 'Small ensemble',
  region: 'addis',
  zones: [identifier('bole'), identifier('arada')],
  groups: [
    {
      name: 'booking-desk',
      services: 2,
      replicasPerService: 2,
      slots: 5,
      connections: 70,
      shardsPerService: 2,
      medianServiceMs: 6,
    },
  ],
  rows: [
    buildRow(ENSEMBLE, {
      route: 'season-roster',
      kind: 'page',
      services: ['booking-desk-*'],
      deadlineMs: 600,
    }),
    buildRow(ENSEMBLE, {
      ...AT_MOST_ONCE,
      route: 'booking',
      kind: 'book',
      services: ['booking-desk-*'],
      deadlineMs: 1_500,
    }),
  ],
};

const SMALL_TAWE: Deployment = {
  ...SMALL_DEPLOYMENT,
  partner: TAWE,
  title: 'Small tawe',
  region: 'wales',
  zones: [identifier('swansea-hall')],
  groups: [
    {
      name: 'quote-builder',
      services: 2,
      replicasPerService: 2,
      slots: 2,
      connections: 70,
      shardsPerService: 1,
      medianServiceMs: 8,
    },
  ],
  rows: [
    buildRow(TAWE, {
      route: 'lease-quotes',
      kind: 'build',
      services: ['quote-builder-*'],
      deadlineMs: 800,
    }),
  ],
};

/** A partner with two zones and an at-most-once row, and a partner with one zone. */
export const SMALL_DEPLOYMENTS: readonly Deployment[] = [SMALL_ENSEMBLE, SMALL_TAWE];
