/** Records of the attempts that reached replicas and of those that ran. */
import type { AttemptId, PartnerId, ReplicaId, RequestId, ShardId } from '../core/identifiers.js';
import type { SnapshotVersion } from '../catalog/partner-index.js';

/** An attempt that a replica has started to run. */
export interface RunRecord {
  readonly at: number;
  readonly replica: ReplicaId;
  readonly request: RequestId;
  readonly attempt: AttemptId;
  readonly partner: PartnerId;
  readonly shard: ShardId;
  readonly snapshot: SnapshotVersion;
  readonly safeToRepeat: boolean;
  readonly idempotencyKey?: string;
}

/** An attempt that reached a replica; the replica may have run or refused it. */
export interface ArrivalRecord {
  readonly at: number;
  readonly replica: ReplicaId;
  readonly request: RequestId;
  readonly attempt: AttemptId;
  /** The node whose connection carried the attempt. */
  readonly feeder: string;
}
