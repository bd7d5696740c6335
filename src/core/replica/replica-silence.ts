/**
 * Detects at the feeder that a replica has stopped answering, so that its queued legs can go to other
 * replicas. They have not been sent, so refusing them as not run causes no work at the back ends.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { releaseHeld } from './release-held.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, ReplicaFeed } from './state.js';

/** A replica is silent after this many mean service times without a response. */
const SILENCE_FACTOR = 6;
/** Minimum time without a response before a replica counts as silent, in milliseconds. */
const MIN_SILENCE_MS = 25;
/** Number of consecutive attempts ended without a response after which a replica counts as silent. */
const UNANSWERED_LIMIT = 3;
/** Minimum duration of an attempt to count as unanswered, in mean service times. */
const LATE_FACTOR = 2;
/** Weight of the newest sample in the decayed mean of service times. */
const SAMPLE_WEIGHT = 0.1;

const silenceThresholdMs = (feed: ReplicaFeed): number =>
  Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * feed.serviceMs);

/**
 * Whether the replica seems to have stopped answering: it has held attempts too long without any
 * response, or several in a row ended late without one, such as when coordinators cancelled them.
 */
export const isFeedSilent = (feed: ReplicaFeed, at: number): boolean =>
  feed.unansweredSince !== undefined &&
  (feed.unanswered >= UNANSWERED_LIMIT || at - feed.unansweredSince >= silenceThresholdMs(feed));

/** Records an attempt sent to the replica. */
export const recordAttemptSent = (feed: ReplicaFeed, at: number): void => {
  feed.inFlight += 1;
  feed.unansweredSince ??= at;
};

/** Records a response of the replica: an answer or a refusal. */
export const recordResponse = (feed: ReplicaFeed, serviceMs: number, at: number): void => {
  feed.inFlight -= 1;
  feed.unanswered = 0;
  feed.unansweredSince = feed.inFlight > 0 ? at : undefined;
  feed.serviceMs += SAMPLE_WEIGHT * (serviceMs - feed.serviceMs);
};

/** Records that an attempt ended without a response: cancelled, timed out or its connection lost. */
export const recordNoResponse = (feed: ReplicaFeed, serviceMs: number, at: number): void => {
  feed.inFlight -= 1;
  if (serviceMs > LATE_FACTOR * feed.serviceMs) {
    feed.unanswered += 1;
  }
  if (feed.inFlight === 0 && !isFeedSilent(feed, at)) {
    feed.unansweredSince = undefined;
  }
};

/** Refuses the queued legs of a silent replica, except those that must be sent anyway (`insist`). */
const refuseQueued = (state: CoreState, feed: ReplicaFeed, at: number): void => {
  const retained: HeldAttempt[] = [];
  for (let held = feed.queue.take(); held !== undefined; held = feed.queue.take()) {
    if (held.leg.insist === true) {
      retained.push(held);
    } else {
      releaseHeld(state, held);
      reportNotRun(state, held, 'not-answering', at);
    }
  }
  retained.forEach((held) => feed.queue.add(held));
};

/** Sets the timer that checks whether a replica with queued legs has fallen silent. */
export const setSilenceTimer = (feed: ReplicaFeed, at: number, effects: Effect[]): void => {
  if (feed.silenceTimerSet || feed.unansweredSince === undefined) {
    return;
  }
  feed.silenceTimerSet = true;
  const key = { purpose: 'replica-dispatch', subject: feed.endpoint } as const;
  const due = Math.max(at + 1, feed.unansweredSince + silenceThresholdMs(feed));
  effects.push({ type: 'set-timer', key, at: due });
};

/** Handles the silence timer: refuses the queued legs if the replica is silent, else sets it again. */
export const checkSilence = (
  state: CoreState,
  feed: ReplicaFeed,
  at: number,
  effects: Effect[],
): void => {
  feed.silenceTimerSet = false;
  if (isFeedSilent(feed, at)) {
    refuseQueued(state, feed, at);
  } else if (feed.queue.size > 0) {
    setSilenceTimer(feed, at, effects);
  }
};
