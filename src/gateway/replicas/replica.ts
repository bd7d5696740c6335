/** What this gateway knows of one incarnation of a replica. */
import type { ReplicaRecord } from '../model/replica-record.js';
import type { AttemptId, LoadReport } from '../model/request.js';

/** Weight of a new sample in the moving average of the slowdown. */
const SLOWDOWN_WEIGHT = 0.25;

/** Largest ratio that one sample counts for. */
const MAX_SAMPLE_RATIO = 20;

/** Time in which what is known of a slowdown fades to a third, in milliseconds. */
const SLOWDOWN_DECAY_MS = 2_500;

/** Pauses after failures in a row before a replica is tried again, in milliseconds. */
const FIRST_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;

/** An attempt that runs at a replica. */
export interface PendingAttempt {
  readonly sentAt: number;
  /** How long such an attempt usually takes, in milliseconds. */
  readonly expectedMs: number;
}

/** A replica with what was observed of it. */
export interface Replica {
  record: ReplicaRecord;
  /** When it stops being slow after its start. */
  coldUntil: number;
  /** When requests were sent to it while it was cold, over the last second. */
  sentWhileCold: readonly number[];
  /** When this gateway learnt that it is gone from the store; undefined while it is listed. */
  goneAt: number | undefined;
  /** Its entry cannot be read: it gets no requests until it has written it again. */
  isUnreadable: boolean;
  /** When this gateway learnt that it drains; long ago when it was first seen draining. */
  drainingSince: number | undefined;
  /** Attempts that run, in the order in which they were sent. */
  readonly pending: Map<AttemptId, PendingAttempt>;
  /** Moving average of how much longer attempts take than usual. */
  slowdown: number;
  slowdownAt: number;
  load: LoadReport | undefined;
  loadAt: number;
  /** Attempts that failed in a row. */
  failures: number;
  /** It is tried only when nothing else is left, until then. */
  ejectedUntil: number;
  /** A connection was opened ahead, or was decided against. */
  preconnected: boolean;
  /** When the last answer of any kind came. */
  answeredAt: number;
}

/** Creates what is known of a replica that has just been listed. */
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

/** A slowdown that was known at one time, as it counts later: it fades towards 1. */
const decayedSlowdown = (slowdown: number, knownAt: number, at: number): number => {
  const age = Math.max(0, at - knownAt);
  return 1 + (slowdown - 1) * Math.exp(-age / SLOWDOWN_DECAY_MS);
};

const observedSlowdown = ({ slowdown, slowdownAt }: Replica, at: number): number =>
  decayedSlowdown(slowdown, slowdownAt, at);

/** What the replica says itself; one that claims to be quicker than usual is not believed. */
const reportedSlowdown = ({ load, loadAt }: Replica, at: number): number => {
  const slowdown = Math.min(MAX_SAMPLE_RATIO, Math.max(1, load?.slowdown ?? 1));
  return decayedSlowdown(slowdown, loadAt, at);
};

/**
 * How much longer than usual an attempt is expected to take: what the replica says or what attempts have
 * shown, whichever is worse, so that no report outweighs what was seen.
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
 * Notes that an attempt was given up before its answer: it would have taken at least so long, relative
 * to what is usual. One that was given up early says nothing.
 */
export const recordUnfinished = (replica: Replica, leastRatio: number, at: number): void => {
  if (leastRatio > observedSlowdown(replica, at)) {
    addSlowdownSample(replica, leastRatio, at);
  }
};

/** Notes how long an attempt took, relative to what is usual. */
export const recordLatency = (replica: Replica, ratio: number, at: number): void => {
  addSlowdownSample(replica, ratio, at);
  replica.failures = 0;
  replica.ejectedUntil = Number.NEGATIVE_INFINITY;
  replica.answeredAt = at;
};

/** Notes that an attempt failed in a way that speaks against the replica. */
export const recordReplicaFailure = (replica: Replica, at: number): void => {
  const pause = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** replica.failures);
  replica.failures += 1;
  replica.ejectedUntil = at + pause;
};

/** Notes what the replica says of its load. */
export const recordLoad = (replica: Replica, load: LoadReport | undefined, at: number): void => {
  if (load !== undefined) {
    replica.load = load;
    replica.loadAt = at;
  }
};
