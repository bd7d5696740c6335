/** Sends attempts to replicas. */
import { type ExtraReason, recordExtraAttempt } from '../budget/extra-attempts.js';
import type { SendAttempt } from '../effect.js';
import type { AttemptId } from '../model/request.js';
import type { AttemptReason } from '../log/log-event.js';
import { usableShareOf } from '../budget/usable-share.js';
import { recordDecision } from '../log/trace.js';
import { type Replica, currentSlowdown } from '../replicas/replica.js';
import { isFed } from '../peers/service-share.js';
import { hasColdRateLeft, recordColdSend } from '../replicas/cold-rate.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import { drawReplicas, listedReplicas } from '../replicas/shared-replicas.js';
import { connectionShare } from '../replicas/connection-share.js';
import {
  expectedRatio,
  expectedWait,
  selectReplica,
  type SelectionContext,
  selectReplicaWithRoom,
} from '../replicas/select-replica.js';
import { hasRoom } from '../scheduling/replica-room.js';
import { isScheduled, waitingUpTo } from '../scheduling/wait-for-room.js';
import { budgetOf, type GatewayState } from '../state.js';
import { canAnswerBeforeStop } from '../stop/time-left.js';
import { guardOf } from './guard.js';
import type { ActiveRequest, Leg } from './request-state.js';
import { latencyOf } from './route-latency.js';

/** Share of the drain time during which a leaving replica may still be used, as a last resort. */
const LEAVING_SHARE = 0.3;

/** Attempts that a leg may make beyond its runs, for refusals and failed connections. */
const EXTRA_ATTEMPTS = 2;

/**
 * The replicas that every feeder draws for a shard of a request, one fewer than the route's attempts; undefined when
 * any replica may be used.
 */
const sharedReplicas = (
  state: GatewayState,
  { request, route }: ActiveRequest,
  { service }: Leg,
): ReadonlySet<string> | undefined => {
  if (route.target.type !== 'gather' || !isFed(state, service)) {
    return undefined;
  }
  const listed = listedReplicas(eligibleReplicas(state, service, route.allowedRegions));
  if (listed.length <= route.maxAttempts) {
    return undefined;
  }
  const { zone, zoneRegions } = state.settings;
  const isNear = (other: string): boolean => zoneRegions[other] === zoneRegions[zone];
  return drawReplicas(listed, request.requestId, route.maxAttempts - 1, isNear);
};

/** The first feeder of a shard chooses one replica freely, then uses only that one and the shared ones. */
const preferredReplicas = (
  { isRepeat, unsharedReplica }: Leg,
  shared: ReadonlySet<string> | undefined,
): ReadonlySet<string> | undefined => {
  if (shared === undefined || (!isRepeat && unsharedReplica === undefined)) {
    return undefined;
  }
  return unsharedReplica === undefined ? shared : new Set([...shared, unsharedReplica]);
};

const selectionPlaceOf = (
  state: GatewayState,
  leg: Leg,
  shared: ReadonlySet<string> | undefined,
  at: number,
): SelectionContext => ({
  zone: state.settings.zone,
  zoneRegions: state.settings.zoneRegions,
  leavingMs: state.settings.bounds.drainMs * LEAVING_SHARE,
  maxConnections: connectionShare(state, leg.service, at),
  preferred: preferredReplicas(leg, shared),
});

const extraReasonOf = ({ wasSent }: Leg, reason: AttemptReason): ExtraReason => {
  if (!wasSent) {
    return 'resend';
  }
  return reason === 'hedge' ? 'hedge' : 'retry';
};

/**
 * Consumes one arrival of the retry budget; false when it is exhausted. The first arrival of a leg is free and counts as a
 * request, once, so that no two gateways count the same one.
 */
const consumeBudget = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  at: number,
): boolean => {
  const { service } = leg;
  const budget = budgetOf(state, service);
  if (leg.arrivals === 0) {
    if (!leg.isCounted) {
      leg.isCounted = true;
      budget.countRequest(at);
    }
    return true;
  }
  const { retryRatio, retryWindowMs, retrySlack } = state.settings.bounds;
  const { ofLimit: share, ofOwnRequests } = usableShareOf(state, service, at);
  const policy = {
    ratio: retryRatio * ofOwnRequests,
    windowMs: retryWindowMs,
    slack: retrySlack * share,
  };
  const isTaken = budget.consume(policy, at);
  const extraReason = extraReasonOf(leg, reason);
  recordExtraAttempt(state.extraAttempts, service, isTaken ? extraReason : 'denied', {
    requests: budget.requestCount,
    extras: budget.extraCount,
    share,
  });
  if (isTaken) {
    state.counters.extraAttempts.add(service, extraReason);
  } else {
    const left = budget.left(policy, at);
    state.counters.budgetDenials.add(service);
    recordDecision(request.decisions, at, { event: 'budget-denied', service, left });
  }
  return isTaken;
};

const traceAttempt = (
  state: GatewayState,
  request: ActiveRequest,
  { waiting }: Leg,
  replica: Replica,
  reason: AttemptReason,
  at: number,
): void => {
  const { id, service, zone } = replica.record;
  const loadAge = replica.load === undefined ? {} : { loadAgeMs: Math.round(at - replica.loadAt) };
  recordDecision(request.decisions, at, {
    event: 'attempt-sent',
    attempt: state.nextAttempt,
    reason,
    service,
    replica: id,
    zone,
    slowdown: Math.round(currentSlowdown(replica, at) * 10) / 10,
    pending: replica.pending.size,
    ...(waiting !== undefined && { waitedMs: Math.round(at - waiting.since) }),
    ...loadAge,
  });
};

const hasAttemptsLeft = (request: ActiveRequest, leg: Leg): boolean => {
  const { maxAttempts, repeatable } = request.route;
  const maxRuns = repeatable ? maxAttempts : 1;
  return leg.runs < maxRuns && leg.attemptedReplicas.size < maxAttempts + EXTRA_ATTEMPTS;
};

/** Whether an attempt that is sent now can still be answered. */
const hasTimeLeft = (
  state: GatewayState,
  { route, deadlineAt, ownDeadlineAt }: ActiveRequest,
  { service }: Leg,
  at: number,
): boolean => deadlineAt - at >= 1 && canAnswerBeforeStop(state, route, ownDeadlineAt, at, service);

/** Whether the leg has attempts left and a replica that it has not tried. */
export const canAttempt = (state: GatewayState, request: ActiveRequest, leg: Leg): boolean =>
  hasAttemptsLeft(request, leg) &&
  eligibleReplicas(state, leg.service, request.route.allowedRegions).some(
    ({ record }) => !leg.attemptedReplicas.has(record.id),
  );

/** Whether an attempt is worth its cost; `ratio` is its expected latency as a multiple of the usual one. */
export type RatioCheck = (ratio: number) => boolean;

const acceptAnyRatio: RatioCheck = () => true;

/** The replica for the next attempt of a leg; `no-room` if the attempt should wait. */
const chooseReplica = (
  state: GatewayState,
  request: ActiveRequest,
  { service, attemptedReplicas }: Leg,
  place: SelectionContext,
  at: number,
): Replica | 'no-room' | undefined => {
  const replicas = eligibleReplicas(state, service, request.route.allowedRegions).filter(
    (replica) => hasColdRateLeft(state, replica, at),
  );
  const best = selectReplica(replicas, attemptedReplicas, place, state.random, at);
  if (best === undefined || !isScheduled(state, request, service) || hasRoom(state, best, at)) {
    return best;
  }
  const other = selectReplicaWithRoom(
    replicas,
    attemptedReplicas,
    place,
    state.random,
    best,
    waitingUpTo(state, service, request.rank),
    (replica) => hasRoom(state, replica, at),
    at,
  );
  return other ?? 'no-room';
};

/**
 * Sends one more attempt for a leg. Returns `no-room` when it should wait for room at the replicas, and undefined when none
 * may be sent: no replica is left or accepted, the deadline has passed, this process ends too soon, or the route's attempts or
 * the retry budget are exhausted.
 *
 * @param accepts - decides whether the selected replica is worth an attempt
 */
export const sendAttempt = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  at: number,
  accepts = acceptAnyRatio,
): SendAttempt | 'no-room' | undefined => {
  if (!hasAttemptsLeft(request, leg) || !hasTimeLeft(state, request, leg, at)) {
    return undefined;
  }
  const shared = sharedReplicas(state, request, leg);
  const place = selectionPlaceOf(state, leg, shared, at);
  const replica = chooseReplica(state, request, leg, place, at);
  if (replica === 'no-room') {
    return 'no-room';
  }
  if (replica === undefined || !accepts(expectedRatio(replica, place.maxConnections, at))) {
    return undefined;
  }
  if (!consumeBudget(state, request, leg, reason, at)) {
    return undefined;
  }
  if (shared?.has(replica.record.id) === false) {
    leg.unsharedReplica = replica.record.id;
  }
  state.counters.attempts.add(leg.service, reason);
  traceAttempt(state, request, leg, replica, reason, at);
  return startAttempt(state, request, leg, replica, place.maxConnections, at);
};

const startAttempt = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  replica: Replica,
  maxConnections: number,
  at: number,
): SendAttempt => {
  const attempt: AttemptId = state.nextAttempt;
  state.nextAttempt += 1;
  const { record } = replica;
  const { call, route, deadlineAt } = request;
  recordColdSend(state, replica, at);
  leg.attemptedReplicas.add(record.id);
  leg.wasSent = true;
  leg.running.add(attempt);
  leg.arrivals += 1;
  leg.runs += 1;
  const isPrompt = expectedWait(replica, maxConnections, at) === 0;
  replica.pending.set(attempt, { sentAt: at, expectedMs: latencyOf(state, request).median });
  state.attempts.set(attempt, {
    id: attempt,
    owner: request,
    fingerprint: request.request.fingerprint,
    leg,
    replica: record.id,
    route: route.name,
    repeatable: route.repeatable,
    sentAt: at,
    isPrompt,
    isProbe: guardOf(state, request, at) !== 'free',
    knownRounds: state.crashes.histories.find(request.request.fingerprint, at).rounds,
  });
  return {
    type: 'send-attempt',
    attempt,
    call,
    replica: record,
    deadlineAt,
    maxConnections,
    repeatable: route.repeatable,
    rank: request.rank,
  };
};
