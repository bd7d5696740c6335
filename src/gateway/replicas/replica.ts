/** One incarnation of a replica, with this gateway's measurements of it. */
import type { ReplicaRecord } from '../model/replica-record.js';
import type { AttemptId, LoadReport } from '../model/request.js';

/** Weight of a new sample in the exponential moving average of the slowdown. */
const SLOWDOWN_WEIGHT = 0.25;

/** Upper limit of the ratio of one sample. */
const MAX_SAMPLE_RATIO = 20;

/** Time constant of the decay of a slowdown, in milliseconds: its excess over 1 falls to about a third. */
const SLOWDOWN_DECAY_MS = 2_500;

/** Ejection time after the first of consecutive failures, doubled after each up to the maximum, in milliseconds. */
const FIRST_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;

/** How long a load report is used, in milliseconds. */
const LOAD_REPORT_AGE_MS = 150;

/** An attempt that is in progress at a replica. */
export interface PendingAttempt {
  readonly sentAt: number;
  /** Usual duration of such an attempt, in milliseconds. */
  readonly expectedMs: number;
}

/** A replica with its measurements. Times are on the gateway's clock, in milliseconds. */
export interface Replica {
  record: ReplicaRecord;
  /** When the replica is no longer cold after its start. */
  coldUntil: number;
  /** Times of the requests sent to it while it was cold, in the last second. */
  sentWhileCold: readonly number[];
  /** When this gateway read that the store no longer lists the replica; undefined while it is listed. */
  goneAt: number | undefined;
  /** The entry cannot be decoded; the replica gets no requests until it has written a valid one. */
  isUnreadable: boolean;
  /** When this gateway read that the replica drains; negative infinity if its first entry was already draining. */
  drainingSince: number | undefined;
  /** Attempts in progress, in the order in which they were sent. */
  readonly pending: Map<AttemptId, PendingAttempt>;
  /** Moving average of the duration of attempts relative to the usual duration. */
  slowdown: number;
  slowdownAt: number;
  load: LoadReport | undefined;
  loadAt: number;
  /** Number of consecutive failed attempts. */
  failures: number;
  /** Until then the replica is selected only if no other is left. */
  ejectedUntil: number;
  /** Whether to open a connection early was decided, with either result. */
  preconnected: boolean;
  /** When the last answer of any kind arrived. */
  answeredAt: number;
}

/** Creates the state of a replica that has just been listed. */
export const createReplica = (record: ReplicaRecord, at: number): Replica => ({
  record,
  coldUntil: at + (record.coldLeftMs ?? record.coldMs),
  sentWhileCold: [],
  goneAt: undefined,
  isUnreadable: false,
  drainingSince: record.draining ? Number.NEGATIVE_INFINITY : undefined,
  pending: new Map(),
  slowdown: 1,
  slowdownAt: at,
  load: undefined,
  loadAt: Number.NEGATIVE_INFINITY,
  failures: 0,
  ejectedUntil: Number.NEGATIVE_INFINITY,
  preconnected: false,
  answeredAt: at,
});

/** A slowdown measured at `knownAt`, decayed towards 1 by the time `at`. */
const decayedSlowdown = (slowdown: number, knownAt: number, at: number): number => {
  const age = Math.max(0, at - knownAt);
  return 1 + (slowdown - 1) * Math.exp(-age / SLOWDOWN_DECAY_MS);
};

const observedSlowdown = ({ slowdown, slowdownAt }: Replica, at: number): number =>
  decayedSlowdown(slowdown, slowdownAt, at);

/** The slowdown that the replica reports, at least 1: reports below the usual time are ignored. */
const reportedSlowdown = ({ load, loadAt }: Replica, at: number): number => {
  const slowdown = Math.min(MAX_SAMPLE_RATIO, Math.max(1, load?.slowdown ?? 1));
  return decayedSlowdown(slowdown, loadAt, at);
};

/**
 * Expected duration of an attempt relative to the usual one: the larger of the reported and the observed slowdown, so that
 * a report cannot hide a slowdown that attempts have shown.
 */
export const currentSlowdown = (replica: Replica, at: number): number =>
  Math.max(observedSlowdown(replica, at), reportedSlowdown(replica, at));

const addSlowdownSample = (replica: Replica, ratio: number, at: number): void => {
  const sample = Math.min(MAX_SAMPLE_RATIO, ratio);
  const known = observedSlowdown(replica, at);
  replica.slowdown = known + SLOWDOWN_WEIGHT * (sample - known);
  replica.slowdownAt = at;
};

/**
 * Records an attempt that was aborted before its answer. Its duration, relative to the usual one, would have been at least
 * `leastRatio`; a ratio below the known slowdown gives no information.
 */
export const recordUnfinished = (replica: Replica, leastRatio: number, at: number): void => {
  if (leastRatio > observedSlowdown(replica, at)) {
    addSlowdownSample(replica, leastRatio, at);
  }
};

/** Records the duration of an answered attempt relative to the usual one, and ends an ejection. */
export const recordLatency = (replica: Replica, ratio: number, at: number): void => {
  addSlowdownSample(replica, ratio, at);
  replica.failures = 0;
  replica.ejectedUntil = Number.NEGATIVE_INFINITY;
  replica.answeredAt = at;
};

/** Records a failure that is attributed to the replica, and ejects it for a while. */
export const recordReplicaFailure = (replica: Replica, at: number): void => {
  const pause = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** replica.failures);
  replica.failures += 1;
  replica.ejectedUntil = at + pause;
};

/** The replica's last load report if it is recent enough to be used; undefined otherwise. */
export const freshLoad = ({ load, loadAt }: Replica, at: number): LoadReport | undefined =>
  at - loadAt < LOAD_REPORT_AGE_MS ? load : undefined;

/** Number of requests that the replica runs at the same time, at least 1. */
export const slotsOf = ({ load, record }: Replica): number =>
  Math.max(1, load?.slots ?? record.slots);

/** Records the load that the replica reports. */
export const recordLoad = (replica: Replica, load: LoadReport | undefined, at: number): void => {
  if (load !== undefined) {
    replica.load = load;
    replica.loadAt = at;
  }
};
