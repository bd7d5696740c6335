/** Builds the initial objects of the platform's store for a set of deployments. */
import { rosterObjectName } from '../catalog/keeper-roster.js';
import type { SnapshotLayout, SnapshotVersion } from '../catalog/partner-index.js';
import type { StoreContent, StoreObject } from '../catalog/store-object.js';
import { identifier, type ObjectName, type ReplicaId } from '../core/identifiers.js';
import type { Agreement } from '../table/agreement.js';
import type { Sheet } from '../table/sheet.js';
import { demoKeys } from './demo-keys.js';
import type { Deployment, PlacedReplica } from './deployment.js';
import { ENSEMBLE } from './ensemble.js';
import { placeReplicas, servicesOf, shardsOf } from './placement.js';
import { TAWE } from './tawe.js';

/** Initial snapshot version of every deployment. */
export const FIRST_SNAPSHOT: SnapshotVersion = 1;

/** Operator recorded in the first version of each sheet. */
const FIRST_OPERATOR = 'demo-operator';

/** Address at which a replica listens. */
export interface ReplicaAddress {
  readonly host: string;
  readonly port: number;
}

/** Returns the address at which a replica listens. */
export type ReplicaAddresses = (replica: ReplicaId) => ReplicaAddress;

/** Share of each partner in the initial agreement. */
const FIRST_SHARE = 0.5;

/** Returns the initial agreement of both partners, which applies even if only one is deployed. */
export const firstAgreement = (): Agreement => ({
  shares: [ENSEMBLE, TAWE].map(({ partner }) => ({ partner, share: FIRST_SHARE })),
});

/** Builds the layout of a snapshot with `addedShards` more shards per service than initially. */
export const buildLayout = (
  deployment: Deployment,
  version: SnapshotVersion,
  addedShards = 0,
): SnapshotLayout => ({
  version,
  shards: deployment.groups.flatMap((group) =>
    servicesOf(group).flatMap((service) =>
      shardsOf(service, group.shardsPerService + addedShards).map((shard) => ({ shard, service })),
    ),
  ),
});

const buildSheet = (deployment: Deployment): Sheet => ({
  partner: deployment.partner,
  rows: deployment.rows.map((row) => ({ row, rowVersion: 1, writtenBy: FIRST_OPERATOR })),
  history: [],
});

const groupByService = (replicas: readonly PlacedReplica[]): Map<string, PlacedReplica[]> => {
  const byService = new Map<string, PlacedReplica[]>();
  for (const replica of replicas) {
    const ofService = byService.get(replica.service) ?? [];
    ofService.push(replica);
    byService.set(replica.service, ofService);
  }
  return byService;
};

const buildStatusContent = (
  deployment: Deployment,
  replicas: readonly PlacedReplica[],
  addressOf: ReplicaAddresses,
): StoreContent[] =>
  replicas.slice(0, 1).map((first) => ({
    type: 'status',
    status: {
      partner: deployment.partner,
      service: first.service,
      replicas: replicas.map((placed) => ({
        replica: placed.replica,
        zone: placed.zone,
        ...addressOf(placed.replica),
        slots: placed.group.slots,
        connections: placed.group.connections,
        lifecycle: 'ready',
        snapshots: [FIRST_SNAPSHOT],
      })),
    },
  }));

/** Returns the name of the store object for some content. */
export const objectNameOf = (content: StoreContent): ObjectName => {
  switch (content.type) {
    case 'sheet':
      return identifier<ObjectName>(`sheet/${content.sheet.partner}`);
    case 'agreement':
      return identifier<ObjectName>('agreement');
    case 'keys':
      return identifier<ObjectName>(`keys/${content.keys.partner}`);
    case 'layout':
      return identifier<ObjectName>(`layout/${content.layout.partner}`);
    case 'status':
      return identifier<ObjectName>(`status/${content.status.partner}/${content.status.service}`);
    case 'keepers':
      return rosterObjectName(content.roster.period);
  }
};

const buildContents = (deployment: Deployment, addressOf: ReplicaAddresses): StoreContent[] => [
  { type: 'sheet', sheet: buildSheet(deployment) },
  { type: 'keys', keys: demoKeys(deployment.partner) },
  {
    type: 'layout',
    layout: {
      partner: deployment.partner,
      snapshots: [buildLayout(deployment, FIRST_SNAPSHOT)],
    },
  },
  ...[...groupByService(placeReplicas(deployment)).values()].flatMap((replicas) =>
    buildStatusContent(deployment, replicas, addressOf),
  ),
];

/**
 * Builds the store's initial objects for `deployments`: the agreement, and each deployment's sheet,
 * keys, layout and service statuses. All have version 1; their revisions count from 1.
 */
export const buildInitialObjects = (
  deployments: readonly Deployment[],
  addressOf: ReplicaAddresses,
): StoreObject[] => {
  const contents: StoreContent[] = [
    { type: 'agreement', agreement: firstAgreement() },
    ...deployments.flatMap((deployment) => buildContents(deployment, addressOf)),
  ];
  return contents.map((content, index) => ({
    name: objectNameOf(content),
    version: 1,
    revision: index + 1,
    content,
  }));
};
