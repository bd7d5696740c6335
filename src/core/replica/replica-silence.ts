/**
 * Notices at the feeder that a replica has stopped to answer, so that the legs that wait for it can
 * go elsewhere: they have not been sent, and a refusal as not run costs the back ends nothing.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { releaseHeld } from './release-held.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, ReplicaFeed } from './state.js';

/** A replica is silent when it has answered nothing for this many mean working times. */
const SILENCE_FACTOR = 6;
/** Shortest silence that counts, in milliseconds. */
const MIN_SILENCE_MS = 25;
/** Attempts that end in a row without a word of the replica, after which it counts as silent. */
const UNANSWERED_LIMIT = 3;
/** Mean working times that an attempt must have lasted to count as unheard. */
const LATE_FACTOR = 2;
/** Weight of the newest sample in the decayed mean of working times. */
const SAMPLE_WEIGHT = 0.1;

const silenceThresholdMs = (feed: ReplicaFeed): number =>
  Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * feed.serviceMs);

/**
 * Whether the replica seems to have stopped answering: attempts have been there for long without any
 * answer, or several in a row were called off by coordinators who waited in vain.
 */
export const isFeedSilent = (feed: ReplicaFeed, at: number): boolean =>
  feed.unansweredSince !== undefined &&
  (feed.unanswered >= UNANSWERED_LIMIT || at - feed.unansweredSince >= silenceThresholdMs(feed));

/** Notes an attempt sent to the replica. */
export const recordAttemptSent = (feed: ReplicaFeed, at: number): void => {
  feed.inFlight += 1;
  feed.unansweredSince ??= at;
};

/** Notes that the replica has said something: an answer or a refusal. */
export const recordResponse = (feed: ReplicaFeed, serviceMs: number, at: number): void => {
  feed.inFlight -= 1;
  feed.unanswered = 0;
  feed.unansweredSince = feed.inFlight > 0 ? at : undefined;
  feed.serviceMs += SAMPLE_WEIGHT * (serviceMs - feed.serviceMs);
};

/** Notes that an attempt ended without a word of the replica: cancelled, timed out, cut off. */
export const recordNoResponse = (feed: ReplicaFeed, serviceMs: number, at: number): void => {
  feed.inFlight -= 1;
  if (serviceMs > LATE_FACTOR * feed.serviceMs) {
    feed.unanswered += 1;
  }
  if (feed.inFlight === 0 && !isFeedSilent(feed, at)) {
    feed.unansweredSince = undefined;
  }
};

/** Refuses the legs that wait for a silent replica, but for those that insist. */
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

/** Watches a replica for which legs wait. */
export const setSilenceTimer = (feed: ReplicaFeed, at: number, effects: Effect[]): void => {
  if (feed.silenceTimerSet || feed.unansweredSince === undefined) {
    return;
  }
  feed.silenceTimerSet = true;
  const key = { purpose: 'replica-dispatch', subject: feed.endpoint } as const;
  const due = Math.max(at + 1, feed.unansweredSince + silenceThresholdMs(feed));
  effects.push({ type: 'set-timer', key, at: due });
};

/** Looks at a watched replica: refuses what waits if it is silent, else watches on. */
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
