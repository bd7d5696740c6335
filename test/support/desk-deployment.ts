/** A deployment with one service of three replicas, and the names of six nodes in three zones. */
import { identifier, type PartnerId } from '../../src/core/identifiers.js';
import type { Deployment } from '../../src/deployments/deployment.js';
import type { RouteRow } from '../../src/table/route-row.js';

export const ENSEMBLE = identifier<PartnerId>('ensemble');
export const ZONES = ['bole', 'arada', 'kirkos'] as const;
export const NODES = ['bole-1', 'bole-2', 'arada-1', 'arada-2', 'kirkos-1', 'kirkos-2'] as const;
export const NODES_PER_ZONE = 2;

/** Options of the deployment. */
interface DeskOptions {
  readonly title: string;
  /** Number of requests that a replica runs concurrently. */
  readonly slots: number;
  readonly rows: readonly RouteRow[];
}

/** Builds the deployment; its service is named `desk`. */
export const buildDeskDeployment = ({ title, slots, rows }: DeskOptions): Deployment => ({
  partner: ENSEMBLE,
  title,
  region: 'addis',
  zones: ZONES.map((zone) => identifier(zone)),
  zoneLatencyMs: 1,
  clientLatencyMs: 1,
  connectionOpeningMs: 1,
  groups: [
    {
      name: 'desk',
      services: 1,
      replicasPerService: 3,
      slots,
      connections: 70,
      shardsPerService: 1,
      medianServiceMs: 5,
    },
  ],
  rows,
  workload: [],
});
