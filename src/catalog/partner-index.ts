/**
 * Status objects in which the platform publishes a partner's back ends.
 *
 * Each partner has one index. A snapshot is one version of that index; its layout lists the shards
 * and the service that holds each of them. A replica serves all shards of its service, in each
 * snapshot that it holds.
 */
import type { PartnerId, ReplicaId, ServiceName, ShardId, ZoneName } from '../core/identifiers.js';

/** Version of a partner's index; increases with each roll-out. */
export type SnapshotVersion = number;

/** A shard and the service that holds it in one snapshot. */
export interface ShardPlacement {
  readonly shard: ShardId;
  readonly service: ServiceName;
}

/** The shard layout of one snapshot. */
export interface SnapshotLayout {
  readonly version: SnapshotVersion;
  readonly shards: readonly ShardPlacement[];
}

/** Content of the store object `layout/{partner}`: all snapshots that may be served, oldest first. */
export interface PartnerLayout {
  readonly partner: PartnerId;
  readonly snapshots: readonly SnapshotLayout[];
}

/** Lifecycle state that the platform publishes for a replica; lags behind the replica's own report. */
export type ReplicaLifecycle = 'ready' | 'warming' | 'leaving';

/** One replica of a service as the platform publishes it. */
export interface ReplicaStatus {
  readonly replica: ReplicaId;
  readonly zone: ZoneName;
  readonly host: string;
  readonly port: number;
  /** Number of requests that the replica processes concurrently. */
  readonly slots: number;
  /** Number of connections that the replica accepts from all nodes together. */
  readonly connections: number;
  readonly lifecycle: ReplicaLifecycle;
  /** The snapshots the replica holds. */
  readonly snapshots: readonly SnapshotVersion[];
}

/** Content of the store object `status/{partner}/{service}`. */
export interface ServiceStatus {
  readonly partner: PartnerId;
  readonly service: ServiceName;
  readonly replicas: readonly ReplicaStatus[];
}
