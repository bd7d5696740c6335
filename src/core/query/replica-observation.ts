/**
 * A coordinator's observations of a back end, made with its own attempts, and what it infers from
 * them. Replica choice, hedging and ejection rest on these observations; a back end's own load reports
 * only supplement them. `record-observation.ts` updates them.
 */
import type { SnapshotVersion } from '../../catalog/partner-index.js';
import type { ReplicaLoad } from '../../protocol/leg-messages.js';

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 10;
/** Half-life, in milliseconds, of the difference between an idle replica's latency and its service's mean. */
const IDLE_HALF_LIFE_MS = 4_000;
/** A replica with attempts in flight is silent after this many mean latencies without a response. */
const SILENCE_FACTOR = 6;
/** Minimum time without a response before a replica counts as silent, in milliseconds. */
const MIN_SILENCE_MS = 25;
/** Half-life of the weight of a wait predicted by a feeder, in milliseconds. */
const BACKLOG_HALF_LIFE_MS = 50;
/** Half-life of the weight of a load report, in milliseconds. */
const LOAD_HALF_LIFE_MS = 200;
/** Time in which a new or recovered replica reaches its full share of the work, in milliseconds. */
export const SLOW_START_MS = 3_000;
/** How long a replica's refusal of a snapshot is valid, in milliseconds. */
export const SNAPSHOT_REFUSAL_VALID_MS = 2_000;

/** Decayed mean latencies of a service over all its replicas. */
export interface ServiceObservation {
  /** From sending to the answer at the coordinator, in milliseconds. */
  latencyMs: number;
  /** The same without the wait at the feeder. */
  unqueuedMs: number;
  samples: number;
}

/** Observations of one back end at this node. */
export interface ReplicaObservation {
  readonly service: ServiceObservation;
  /** Attempts of this node's queries that have not ended. */
  inFlight: number;
  /** Decayed mean from sending to the answer, without the wait at the feeder, in milliseconds. */
  unqueuedMs: number;
  /** Wait at the feeder predicted by the last result, in milliseconds, and the time of that result. */
  backlogMs: number;
  backlogAt: number;
  /** Decayed mean of the service time alone, in milliseconds. */
  serviceMs: number;
  /** Time of its last response, or of the first attempt sent to it while it was idle. */
  lastResponseAt: number;
  /** Score of the failures since the last answer or ejection. */
  failureScore: number;
  ejected: boolean;
  /** Time from which the replica may be probed while it is ejected. */
  probeAt: number;
  ejections: number;
  /** Time until which the replica gets no work because it has shed some. */
  backOffUntil: number;
  sheds: number;
  /** Time of the first observation, or of the end of the last ejection. */
  slowStartFrom: number;
  /** Snapshots that it has refused as gone, with the time until which the refusal is valid. */
  refusedSnapshots: Map<SnapshotVersion, number> | undefined;
  /** The last load report of the replica, and the time at which it arrived. */
  load: ReplicaLoad | undefined;
  loadAt: number;
  /** How often its load reports predicted the latency better than this node's own mean, 0 to 1. */
  loadTrust: number;
}

/** Creates the observations of a service before its first answer. */
export const createServiceObservation = (): ServiceObservation => ({
  latencyMs: INITIAL_LATENCY_MS,
  unqueuedMs: INITIAL_LATENCY_MS,
  samples: 0,
});

/** Creates the observations of a replica before its first attempt. */
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

/** Returns how long a replica with work may give no response before it is silent, in milliseconds. */
export const silenceThresholdMs = (observed: ReplicaObservation): number =>
  Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * observed.service.latencyMs);

/** Whether the replica has attempts in flight and has given no response for too long. */
export const isSilent = (observed: ReplicaObservation, at: number): boolean =>
  observed.inFlight > 0 && at - observed.lastResponseAt >= silenceThresholdMs(observed);

/** Returns the latency without feeder wait, in milliseconds; while idle it decays to the service's mean. */
export const decayedLatency = (observed: ReplicaObservation, at: number): number => {
  const idleMs = observed.inFlight > 0 ? 0 : at - observed.lastResponseAt;
  const mean = observed.service.unqueuedMs;
  const kept = idleMs < 1 ? 1 : 0.5 ** (idleMs / IDLE_HALF_LIFE_MS);
  return mean + (observed.unqueuedMs - mean) * kept;
};

/** Whether a refusal of `snapshot` by the replica is still valid. */
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

/** Whether an ejected replica is due for a probe, which is an additional attempt of a leg. */
export const isProbeDue = (observed: ReplicaObservation, at: number): boolean =>
  observed.ejected && at >= observed.probeAt && observed.inFlight === 0;

/** Whether the replica seems unable to answer: it is ejected or silent. */
export const isUnavailable = (observed: ReplicaObservation, at: number): boolean =>
  observed.ejected || isSilent(observed, at);

/** Whether the replica has shed work and gets none for now. */
export const isBackingOff = (observed: ReplicaObservation, at: number): boolean =>
  observed.backOffUntil > at;

/**
 * Predicts the latency of one more attempt, in milliseconds. It adds the decayed latency, the wait
 * predicted by the feeder and the work that this node has in flight at the replica. The replica's own
 * load report replaces the latter with a weight from its age and the accuracy of earlier reports.
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
