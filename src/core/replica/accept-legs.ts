/** Accepts attempts from a coordinator into the queues of their replicas, or refuses them. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { LegAttempt, LegContext, NotRunReason } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { AttemptId, NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { dispatchAttempts } from './dispatch-attempts.js';
import { classOfLegs } from './class-of-legs.js';
import type { LegClass } from './leg-class.js';
import { createFairQueue, createFirstComeQueue } from './leg-queue.js';
import { refuseIfLeaving } from './leaving-replicas.js';
import { findReplicaStatus } from './replica-index.js';
import { isFeedSilent } from './replica-silence.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, HeldBatch, ReplicaFeed } from './state.js';

/** Maximum number of queued attempts of one partner for one replica; more are refused at once. */
const MAX_QUEUED_PER_PARTNER = 256;

/** How long the identifier of an attempt that is not safe to repeat is kept, in milliseconds. */
const ACCEPTED_ONCE_VALID_MS = 120_000;

/** Maximum number of such identifiers; beyond it, attempts that are not safe to repeat are refused. */
const MAX_ACCEPTED_ONCE = 50_000;

/** Attempts that a coordinator sent to this node as feeder. */
export interface AcceptedBatch {
  readonly coordinator: NodeId;
  readonly context: LegContext;
  readonly legs: readonly LegAttempt[];
  /** Deadline on this node's monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Whether the feeder may delay an answer to send it with others. */
  readonly mayWait: boolean;
}

const getFeed = (state: CoreState, status: ReplicaStatus): ReplicaFeed => {
  const endpoint = `${status.host}:${status.port}`;
  const known = state.replica.feeds.get(endpoint);
  if (known !== undefined) {
    known.status = status;
    return known;
  }
  const fair = state.query.policy.feederOrder === 'fair';
  const feed: ReplicaFeed = {
    endpoint,
    status,
    inFlight: 0,
    serviceMs: 0,
    unansweredSince: undefined,
    unanswered: 0,
    silenceTimerSet: false,
    queue: fair ? createFairQueue() : createFirstComeQueue(),
  };
  state.replica.feeds.set(endpoint, feed);
  return feed;
};

const removeExpired = (expiries: Map<AttemptId, number>, at: number): void => {
  for (const [attempt, expiresAt] of expiries) {
    if (expiresAt > at) {
      return;
    }
    expiries.delete(attempt);
  }
};

/** Whether an attempt was accepted before: it is still held, or it must not run twice. */
const isDuplicate = (state: CoreState, context: LegContext, leg: LegAttempt): boolean =>
  state.replica.held.has(leg.attempt) ||
  (!context.safeToRepeat && state.replica.acceptedOnce.has(leg.attempt));

const recordAcceptedOnce = (state: CoreState, leg: LegAttempt, at: number): boolean => {
  const { acceptedOnce } = state.replica;
  removeExpired(acceptedOnce, at);
  if (acceptedOnce.size >= MAX_ACCEPTED_ONCE) {
    return false;
  }
  acceptedOnce.set(leg.attempt, at + ACCEPTED_ONCE_VALID_MS);
  return true;
};

/**
 * Predicts how long a new leg of a class waits, in milliseconds. The queued legs of its partner are
 * sent first, at the rate given by the partner's share.
 */
export const predictWait = (feed: ReplicaFeed, legClass: LegClass): number => {
  const ahead = feed.queue.sizeOf(legClass.partner);
  const share = feed.queue.size > ahead ? legClass.share : 1;
  return (ahead * feed.serviceMs) / (feed.status.slots * share);
};

const cannotServeInTime = (feed: ReplicaFeed, legClass: LegClass, remainingMs: number): boolean =>
  feed.queue.sizeOf(legClass.partner) >= MAX_QUEUED_PER_PARTNER ||
  predictWait(feed, legClass) > remainingMs;

const enqueueLeg = (
  state: CoreState,
  batch: AcceptedBatch,
  heldBatch: HeldBatch,
  leg: LegAttempt,
  feed: ReplicaFeed,
  legClass: LegClass,
  at: number,
): NotRunReason | undefined => {
  if (cannotServeInTime(feed, legClass, batch.deadlineAt - at)) {
    return 'queue-full';
  }
  if (!batch.context.safeToRepeat && !recordAcceptedOnce(state, leg, at)) {
    return 'queue-full';
  }
  const held: HeldAttempt = {
    coordinator: batch.coordinator,
    batch: heldBatch,
    context: batch.context,
    leg,
    feed,
    class: legClass,
    deadlineAt: batch.deadlineAt,
    arrivedAt: at,
    sentAt: undefined,
    isQueued: false,
    isCancelled: false,
  };
  state.replica.held.set(leg.attempt, held);
  state.replica.attemptsInProgress += 1;
  heldBatch.open += 1;
  feed.queue.add(held);
  return undefined;
};

/** Queues the attempts of a batch and sends those for which a slot is free. */
export const acceptLegs = (
  state: CoreState,
  batch: AcceptedBatch,
  at: number,
  effects: Effect[],
): void => {
  const { coordinator, context } = batch;
  const legClass = classOfLegs(state, context);
  const heldBatch: HeldBatch = { size: batch.legs.length, open: 0, mayWait: batch.mayWait };
  for (const leg of batch.legs) {
    if (isDuplicate(state, context, leg)) {
      continue;
    }
    const arrived = { coordinator, leg, arrivedAt: at };
    const status = findReplicaStatus(state, context.partner, leg.replica);
    if (status === undefined) {
      reportNotRun(state, arrived, 'unknown-replica', at);
      continue;
    }
    const feed = getFeed(state, status);
    if (refuseIfLeaving(state, feed, arrived, at)) {
      continue;
    }
    const heldBack = leg.insist !== true && isFeedSilent(feed, at);
    const refusal = heldBack
      ? 'not-answering'
      : enqueueLeg(state, batch, heldBatch, leg, feed, legClass, at);
    if (refusal !== undefined) {
      reportNotRun(state, arrived, refusal, at);
    }
    dispatchAttempts(state, feed, at, effects);
  }
};
