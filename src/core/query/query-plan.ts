/** The plan of a query: the pinned snapshot, and the shards with their replicas. */
import type { ReplicaStatus, SnapshotVersion } from '../../catalog/partner-index.js';
import type { ServiceName, ShardId } from '../identifiers.js';
import type { ReplicaObservation, ServiceObservation } from './replica-observation.js';

/** A replica that can serve a leg. */
export interface ReplicaTarget {
  readonly status: ReplicaStatus;
  /** `host:port`; a back end shared by two partners has one endpoint. */
  readonly endpoint: string;
  readonly snapshot: SnapshotVersion;
  readonly observed: ReplicaObservation;
}

/** A shard of the pinned snapshot with the replicas that hold it. */
export interface ShardTarget {
  readonly shard: ShardId;
  readonly service: ServiceName;
  readonly replicas: readonly ReplicaTarget[];
  readonly observed: ServiceObservation;
}

/** The shards of a row in one snapshot. */
export interface SnapshotTargets {
  readonly snapshot: SnapshotVersion;
  readonly shards: readonly ShardTarget[];
}

/** A plan: scatter to the shards, or refuse with the reason why there is no plan. */
export type QueryPlan =
  | {
      readonly type: 'scatter';
      readonly snapshot: SnapshotVersion;
      readonly shards: readonly ShardTarget[];
    }
  | { readonly type: 'refuse'; readonly reason: 'no-snapshot' | 'key-missing' };
