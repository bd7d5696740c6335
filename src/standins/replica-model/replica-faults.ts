/** Faults that can be injected into a replica stand-in. */
import type { ReplicaLifecycle, SnapshotVersion } from '../../catalog/partner-index.js';

/** How the replica reports its load: correctly with a delay, always as zero, or inverted. */
export type LoadReportMode = 'true' | 'frozen' | 'inverted';

/** A snapshot held by a replica. */
export interface HeldSnapshot {
  readonly version: SnapshotVersion;
  /** Number of shards of the replica's service in this snapshot, named from `service#0` on. */
  readonly shardCount: number;
}

/** Behaviour of a replica; may be changed while it runs. */
export interface ReplicaFaults {
  /** Factor on the service time of slowed requests. */
  readonly slowFactor: number;
  /** Share of requests that are slowed, 0 to 1. */
  readonly slowShare: number;
  /** Accepts connections and requests but neither runs nor answers them. */
  readonly frozen: boolean;
  /** Refuses connections; open connections break and running requests are lost. */
  readonly dead: boolean;
  /** Refuses all new requests. */
  readonly shedding: boolean;
  readonly lifecycle: ReplicaLifecycle;
  readonly loadReport: LoadReportMode;
  /** How long the replica is cold after the change, in milliseconds. */
  readonly coldMs: number;
  readonly snapshots: readonly HeldSnapshot[];
  /** Share of answers that belong to another request, 0 to 1. */
  readonly wrongAnswerShare: number;
  /** Share of answers that are truncated, 0 to 1. */
  readonly truncatedShare: number;
  /** Share of answers that are far larger than any valid answer, 0 to 1. */
  readonly oversizedShare: number;
}

/** A change of some of the faults. */
export type ReplicaFaultChange = Partial<ReplicaFaults>;

/** Behaviour of a replica without faults, except its snapshots and cold start. */
export const HEALTHY_BEHAVIOUR: Omit<ReplicaFaults, 'snapshots' | 'coldMs'> = {
  slowFactor: 1,
  slowShare: 1,
  frozen: false,
  dead: false,
  shedding: false,
  lifecycle: 'ready',
  loadReport: 'true',
  wrongAnswerShare: 0,
  truncatedShare: 0,
  oversizedShare: 0,
};

/** Returns the behaviour of a replica without faults that holds `snapshots`. */
export const healthyReplica = (snapshots: readonly HeldSnapshot[]): ReplicaFaults => ({
  ...HEALTHY_BEHAVIOUR,
  coldMs: 0,
  snapshots,
});
