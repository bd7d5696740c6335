/** Updates the observations of back ends when attempts are sent and when they end. */
import type { SnapshotVersion } from '../../catalog/partner-index.js';
import type { ReplicaLoad } from '../../protocol/leg-messages.js';
import type { Random } from '../random.js';
import {
  decayedLatency,
  SNAPSHOT_REFUSAL_VALID_MS,
  hasRefusedSnapshot,
  type ReplicaObservation,
  type ServiceObservation,
  silenceThresholdMs,
} from './replica-observation.js';

/** Weight of the newest sample in a decayed mean. */
const SAMPLE_WEIGHT = 0.1;
/** A sample counts at most this multiple of the mean, so that a single straggler changes no choice. */
const CLIP_FACTOR = 3;
/** Score of failures without an answer in between at which a replica is ejected. */
const EJECTION_SCORE = 3;
/** Score of a failed connect: no process listens at the address. */
const CONNECT_FAILURE_SCORE = 2;
/** Score of an attempt cancelled late while the replica gave no response. */
const SILENCE_SCORE = 1;
/** Pause before the first probe of an ejected replica, in milliseconds; doubles with each ejection. */
const FIRST_EJECTION_MS = 250;
/** Maximum pause before a probe, in milliseconds. */
const MAX_EJECTION_MS = 8_000;
/** Pause after the first shed, in milliseconds; doubles with each consecutive shed. */
const FIRST_SHED_PAUSE_MS = 20;
/** Maximum pause after a shed, in milliseconds; a longer `retryAfterMs` of the replica takes precedence. */
const MAX_SHED_PAUSE_MS = 2_000;
/** Jitter of pauses, as a share in both directions, so that nodes do not resume at the same time. */
const JITTER_SHARE = 0.3;

const jitter = (random: Random, pauseMs: number): number =>
  pauseMs * (1 - JITTER_SHARE + 2 * JITTER_SHARE * random.next());

const eject = (observed: ReplicaObservation, random: Random, at: number): void => {
  const pause = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** observed.ejections);
  observed.ejected = true;
  observed.ejections += 1;
  observed.failureScore = 0;
  observed.probeAt = at + jitter(random, pause);
};

const addFailureScore = (
  observed: ReplicaObservation,
  random: Random,
  at: number,
  score: number,
): void => {
  observed.failureScore += score;
  if (!observed.ejected && observed.failureScore >= EJECTION_SCORE) {
    eject(observed, random, at);
  }
};

/** Records that an attempt was sent. */
export const recordSent = (observed: ReplicaObservation, at: number): void => {
  if (observed.inFlight === 0) {
    observed.unqueuedMs = decayedLatency(observed, at);
    observed.lastResponseAt = at;
  }
  observed.inFlight += 1;
};

/** Times of one answered attempt, in milliseconds. */
export interface AnswerTiming {
  /** From sending to the answer at the coordinator. */
  readonly latencyMs: number;
  /** Wait at the feeder. */
  readonly queuedMs: number;
  /** Wait at the feeder that a new attempt would have at that time. */
  readonly backlogMs: number;
  /** Service time at the replica, measured by its feeder. */
  readonly serviceMs: number;
}

const updateLoadTrust = (observed: ReplicaObservation, latencyMs: number, slots: number): void => {
  const { load } = observed;
  if (load === undefined) {
    return;
  }
  const ownError = Math.abs(latencyMs - observed.unqueuedMs);
  const predictedMs = observed.serviceMs * (1 + (load.inFlight + load.queued) / slots);
  const reportWasCloser = Math.abs(latencyMs - predictedMs) < ownError ? 1 : 0;
  observed.loadTrust += SAMPLE_WEIGHT * (reportWasCloser - observed.loadTrust);
};

const addLatency = (observed: ReplicaObservation, unqueuedMs: number): void => {
  const clipped = Math.min(unqueuedMs, CLIP_FACTOR * observed.unqueuedMs);
  observed.unqueuedMs += SAMPLE_WEIGHT * (clipped - observed.unqueuedMs);
};

const addServiceSample = (service: ServiceObservation, timing: AnswerTiming): void => {
  service.samples += 1;
  const weight = Math.max(SAMPLE_WEIGHT / 2, 1 / service.samples);
  service.latencyMs += weight * (timing.latencyMs - service.latencyMs);
  service.unqueuedMs += weight * (timing.latencyMs - timing.queuedMs - service.unqueuedMs);
};

/** Records an answer: updates the latencies and the load, resets the failure score, ends an ejection. */
export const recordAnswer = (
  observed: ReplicaObservation,
  timing: AnswerTiming,
  load: ReplicaLoad | undefined,
  slots: number,
  at: number,
): void => {
  const unqueuedMs = timing.latencyMs - timing.queuedMs;
  updateLoadTrust(observed, unqueuedMs, slots);
  observed.inFlight -= 1;
  observed.lastResponseAt = at;
  observed.failureScore = 0;
  observed.sheds = 0;
  addLatency(observed, unqueuedMs);
  observed.backlogMs = timing.backlogMs;
  observed.backlogAt = at;
  observed.serviceMs += SAMPLE_WEIGHT * (timing.serviceMs - observed.serviceMs);
  addServiceSample(observed.service, timing);
  if (load !== undefined) {
    observed.load = load;
    observed.loadAt = at;
  }
  if (observed.ejected) {
    observed.ejected = false;
    observed.ejections = 0;
    observed.slowStartFrom = at;
  }
};

/** Records a failed attempt; `refused` means that no connection could be established. */
export const recordFailure = (
  observed: ReplicaObservation,
  refused: boolean,
  random: Random,
  at: number,
): void => {
  observed.inFlight -= 1;
  addFailureScore(observed, random, at, refused ? CONNECT_FAILURE_SCORE : 1);
};

/** Records that the replica does not hold `snapshot`; returns false if that was known. */
export const recordSnapshotRefused = (
  observed: ReplicaObservation,
  snapshot: SnapshotVersion,
  at: number,
): boolean => {
  observed.inFlight -= 1;
  observed.lastResponseAt = at;
  const known = hasRefusedSnapshot(observed, snapshot, at);
  observed.refusedSnapshots ??= new Map();
  observed.refusedSnapshots.set(snapshot, at + SNAPSHOT_REFUSAL_VALID_MS);
  return !known;
};

/** Records that the feeder did not send an attempt because the replica is silent; ejects the replica. */
export const recordUnsentAttempt = (
  observed: ReplicaObservation,
  random: Random,
  at: number,
): void => {
  observed.inFlight -= 1;
  if (!observed.ejected) {
    eject(observed, random, at);
  }
};

/** Records the end of an attempt that gives no information about the replica. */
export const recordInconclusive = (observed: ReplicaObservation): void => {
  observed.inFlight -= 1;
};

/** Records a shed: the replica gets no work for a time that grows with each shed and has jitter. */
export const recordShed = (
  observed: ReplicaObservation,
  retryAfterMs: number | undefined,
  random: Random,
  at: number,
): void => {
  observed.inFlight -= 1;
  observed.lastResponseAt = at;
  const pause = Math.min(MAX_SHED_PAUSE_MS, FIRST_SHED_PAUSE_MS * 2 ** observed.sheds);
  observed.sheds += 1;
  observed.backOffUntil = at + jitter(random, Math.max(pause, retryAfterMs ?? 0));
};

/**
 * Records that an attempt was cancelled because another one answered or the query ended. Its duration
 * is a lower bound of the latency. It counts as a failure if the replica was silent all that time.
 */
export const recordCancelledAttempt = (
  observed: ReplicaObservation,
  sentAt: number,
  random: Random,
  at: number,
): void => {
  observed.inFlight -= 1;
  const lastedMs = at - sentAt;
  if (lastedMs > observed.unqueuedMs) {
    addLatency(observed, lastedMs);
  }
  const silent = observed.lastResponseAt <= sentAt;
  const long = lastedMs > 2 * observed.service.latencyMs;
  if (silent && long) {
    observed.unqueuedMs = Math.max(observed.unqueuedMs, lastedMs);
    addFailureScore(
      observed,
      random,
      at,
      lastedMs >= silenceThresholdMs(observed) ? EJECTION_SCORE : SILENCE_SCORE,
    );
  }
};

/** Records that a probe is sent; the next one is due after a longer pause. */
export const recordProbe = (observed: ReplicaObservation, random: Random, at: number): void => {
  eject(observed, random, at);
};
