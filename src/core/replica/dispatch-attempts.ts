/** Sends queued attempts to a replica while this node has free slots for it. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { connectionsOfFeeder, slotsOfFeeder } from './feeder-share.js';
import { refuseIfLeaving } from './leaving-replicas.js';
import { releaseHeld } from './release-held.js';
import { recordAttemptSent, setSilenceTimer } from './replica-silence.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, ReplicaFeed } from './state.js';

/** Number of slots of a replica that this node may use. */
const shareOfSlots = (state: CoreState, feed: ReplicaFeed): number =>
  slotsOfFeeder(feed.status.slots, state.query.policy.feedersPerReplica);

/** Number of connections that this node may hold to a replica. */
const shareOfConnections = (state: CoreState, feed: ReplicaFeed): number =>
  connectionsOfFeeder(feed.status.connections, state.query.policy.feedersPerReplica);

const sendAttempt = (state: CoreState, held: HeldAttempt, at: number, effects: Effect[]): void => {
  const { feed } = held;
  held.sentAt = at;
  recordAttemptSent(feed, at);
  effects.push({
    type: 'send-attempt',
    context: held.context,
    leg: held.leg,
    replica: feed.status,
    remainingMs: held.deadlineAt - at,
    connections: shareOfConnections(state, feed),
  });
};

/**
 * An attempt is not started when less than this share of the mean service time is left before its
 * deadline, as it would not finish.
 */
const MIN_TIME_SHARE = 0.25;

const minRemainingMs = (feed: ReplicaFeed): number => MIN_TIME_SHARE * feed.serviceMs;

const startOrRefuse = (
  state: CoreState,
  feed: ReplicaFeed,
  held: HeldAttempt,
  at: number,
  effects: Effect[],
): void => {
  if (refuseIfLeaving(state, feed, held, at)) {
    releaseHeld(state, held);
  } else if (held.deadlineAt - at > minRemainingMs(feed)) {
    sendAttempt(state, held, at, effects);
  } else {
    releaseHeld(state, held);
    reportNotRun(state, held, 'deadline-passed', at);
  }
};

/** Sends attempts until the slots are in use or the queue is empty; refuses those that are too late. */
export const dispatchAttempts = (
  state: CoreState,
  feed: ReplicaFeed,
  at: number,
  effects: Effect[],
): void => {
  const slots = shareOfSlots(state, feed);
  while (feed.inFlight < slots) {
    const held = feed.queue.take();
    if (held === undefined) {
      return;
    }
    startOrRefuse(state, feed, held, at, effects);
  }
  if (feed.queue.size > 0) {
    setSilenceTimer(feed, at, effects);
  }
};
