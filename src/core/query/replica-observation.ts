/**
 * What a coordinator has seen of a back end by its own attempts, and what it makes of it. Choice,
 * hedging and ejection rest on these observations; what a back end reports of its load only adds to
 * them. `record-observation.ts` keeps them up to date.
 */
import type { SnapshotVersion } from '../../catalog/partner-index.js';
import type { ReplicaLoad } from '../../protocol/leg-messages.js';

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 10;
/** Time in which what is known of an unused replica fades half-way to its service's mean. */
const IDLE_HALF_LIFE_MS = 4_000;
/** A replica is silent when attempts wait and it has answered none for this many mean latencies. */
const SILENCE_FACTOR = 6;
/** Shortest silence that counts, in milliseconds. */
const MIN_SILENCE_MS = 25;
/** Age at which the wait foretold by a feeder counts half, in milliseconds. */
const BACKLOG_HALF_LIFE_MS = 50;
/** Age at which a load report counts half, in milliseconds. */
const LOAD_HALF_LIFE_MS = 200;
/** Time over which a replica that is new or back takes up its full share of the work. */
export const SLOW_START_MS = 3_000;
/** How long a replica's refusal of a snapshot is believed, in milliseconds. */
export const SNAPSHOT_REFUSAL_VALID_MS = 2_000;

/** Decayed latencies of a service, over all its replicas. */
export interface ServiceObservation {
  /** From sending to the answer as the coordinator sees it, in milliseconds. */
  latencyMs: number;
  /** The same without the wait at the feeder. */
  unqueuedMs: number;
  samples: number;
}

/** One back end as this node has seen it. */
export interface ReplicaObservation {
  readonly service: ServiceObservation;
  /** Attempts of this node's queries that have not ended. */
  inFlight: number;
  /** Decayed mean from sending to the answer, without the wait at the feeder, in milliseconds. */
  unqueuedMs: number;
  /** Wait at the feeder that its last result foretold, in milliseconds, and when it came. */
  backlogMs: number;
  backlogAt: number;
  /** Decayed mean of the working time alone, in milliseconds. */
  serviceMs: number;
  /** Last time it answered, or when it was given work after having had none. */
  lastResponseAt: number;
  /** Failures in a row. */
  failureScore: number;
  ejected: boolean;
  /** When an ejected replica may be probed. */
  probeAt: number;
  ejections: number;
  /** No work before then: it has shed. */
  backOffUntil: number;
  sheds: number;
  /** When it was first seen, or came back from an ejection. */
  slowStartFrom: number;
  /** Snapshots that it has refused as gone, with the time until which that is believed. */
  refusedSnapshots: Map<SnapshotVersion, number> | undefined;
  /** Its last report, and when it came. */
  load: ReplicaLoad | undefined;
  loadAt: number;
  /** 0 to 1: how often its reports foretold the wait better than this node's own mean. */
  loadTrust: number;
}

/** Creates what is known of a service before its first answer. */
export const createServiceObservation = (): ServiceObservation => ({
  latencyMs: INITIAL_LATENCY_MS,
  unqueuedMs: INITIAL_LATENCY_MS,
  samples: 0,
});

/** Creates what is known of a replica before its first attempt. */
export const createReplicaObservation = (
  service: ServiceObservation,
  at: number,
): ReplicaObservation => ({
  service,
  inFlight: 0,
  unqueuedMs: service.unqueuedMs,
  backlogMs: 0,
  backlogAt: at,
  serviceMs: service.unqueuedMs / 2,
  lastResponseAt: at,
  failureScore: 0,
  ejected: false,
  probeAt: 0,
  ejections: 0,
  backOffUntil: 0,
  sheds: 0,
  slowStartFrom: at,
  refusedSnapshots: undefined,
  load: undefined,
  loadAt: 0,
  loadTrust: 0,
});

/** How long a replica with work may answer nothing before it counts as silent, in milliseconds. */
export const silenceThresholdMs = (observed: ReplicaObservation): number =>
  Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * observed.service.latencyMs);

/** Whether work waits at the replica and it has answered nothing for long. */
export const isSilent = (observed: ReplicaObservation, at: number): boolean =>
  observed.inFlight > 0 && at - observed.lastResponseAt >= silenceThresholdMs(observed);

/** Latency without the wait at the feeder, in milliseconds; fades to the service's mean while idle. */
export const decayedLatency = (observed: ReplicaObservation, at: number): number => {
  const idleMs = observed.inFlight > 0 ? 0 : at - observed.lastResponseAt;
  const mean = observed.service.unqueuedMs;
  const kept = idleMs < 1 ? 1 : 0.5 ** (idleMs / IDLE_HALF_LIFE_MS);
  return mean + (observed.unqueuedMs - mean) * kept;
};

/** Whether the replica has refused `snapshot` of late. */
export const hasRefusedSnapshot = (
  observed: ReplicaObservation,
  snapshot: SnapshotVersion,
  at: number,
): boolean => {
  const until = observed.refusedSnapshots?.get(snapshot);
  if (until === undefined) {
    return false;
  }
  if (until <= at) {
    observed.refusedSnapshots?.delete(snapshot);
  }
  return until > at;
};

/** Whether a probe is due: an ejected replica is tried again by a copy of a leg. */
export const isProbeDue = (observed: ReplicaObservation, at: number): boolean =>
  observed.ejected && at >= observed.probeAt && observed.inFlight === 0;

/** Whether the replica seems unable to answer. */
export const isUnavailable = (observed: ReplicaObservation, at: number): boolean =>
  observed.ejected || isSilent(observed, at);

/** Whether the replica has shed and is left alone for now. */
export const isBackingOff = (observed: ReplicaObservation, at: number): boolean =>
  observed.backOffUntil > at;

/**
 * What one more attempt is expected to take, in milliseconds: the decayed latency, which fades to
 * the service's mean while the replica is not used, the wait its feeder foretold, what this node has
 * in flight there, and the replica's own report, weighed by its age and by how well earlier reports foretold.
 */
export const predictLatency = (observed: ReplicaObservation, slots: number, at: number): number => {
  const backlog = observed.backlogMs * 0.5 ** ((at - observed.backlogAt) / BACKLOG_HALF_LIFE_MS);
  const latency = decayedLatency(observed, at) + backlog;
  const own = (observed.serviceMs * observed.inFlight) / slots;
  const { load } = observed;
  if (load === undefined || observed.loadTrust === 0) {
    return latency + own;
  }
  const weight = observed.loadTrust * 0.5 ** ((at - observed.loadAt) / LOAD_HALF_LIFE_MS);
  const reported = (observed.serviceMs * (load.inFlight + load.queued)) / slots;
  return latency + own + weight * (reported - own);
};
