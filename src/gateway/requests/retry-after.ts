/**
 * Retry delays for callers whose requests have not run: this gateway's estimate of the time until the request can be
 * served, with up to 100% jitter so that callers do not return at the same time.
 */
import type { RefusalReason } from '../model/request.js';
import { type Replica, slotsOf } from '../replicas/replica.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import { urgencySteps } from '../scheduling/class-rank.js';
import { expectedWaitOf } from '../scheduling/lack-of-room.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

/**
 * Shortest delay before jitter, in milliseconds, also used without an estimate: the caller's next connection goes to
 * another gateway, which may be able to serve at once.
 */
const MIN_RETRY_AFTER_MS = 50;

/** Longest delay before jitter, in milliseconds: the objectives of most callers are shorter. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Time within which a gateway that has not read the store calls it again, in milliseconds. */
const STORE_RETRY_MS = 100;

/**
 * Share by which a delay is longer for each step of urgency that a class is behind, up to the maximum number of steps: less
 * urgent requests return when the more urgent ones have been served.
 */
const DELAY_PER_STEP = 0.5;
const MAX_STEPS = 4;

/** Age up to which the load that a replica reported is used for a delay, in milliseconds. */
const MAX_LOAD_AGE_MS = 1_000;

const withJitter = (state: GatewayState, waitMs: number, factor = 1): number => {
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  return Math.round(bounded * factor * (1 + state.random.next()));
};

const classFactor = ({ rank }: ActiveRequest): number =>
  1 + DELAY_PER_STEP * Math.min(MAX_STEPS, urgencySteps(rank));

/** Time until the first ejected replica is used again, in milliseconds; 0 when a replica is not ejected. */
const untilNextReplica = (replicas: readonly Replica[], at: number): number => {
  const waits = replicas.map(({ ejectedUntil }) => Math.max(0, ejectedUntil - at));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/** Number of requests before a new one at a replica, relative to its slots; 1 without a recent load report. */
const queueRatio = (replica: Replica, at: number): number => {
  const load = at - replica.loadAt < MAX_LOAD_AGE_MS ? replica.load : undefined;
  const slots = slotsOf(replica);
  return load === undefined ? 1 : Math.max(1, load.running + load.waiting + 1 - slots) / slots;
};

/** Time until a full replica has a free slot for the request, in milliseconds, from the median latency of the route. */
const untilNextSlot = (state: GatewayState, { route, legs }: ActiveRequest, at: number): number => {
  const median = state.latencies.get(route.name)?.median ?? 0;
  const ratios = legs
    .flatMap(({ service }) => eligibleReplicas(state, service, route.allowedRegions))
    .map((replica) => queueRatio(replica, at));
  return ratios.length === 0 ? median : median * Math.min(...ratios);
};

/** Retry delay for a request refused because the gateway has not read the store, in milliseconds. */
export const retryAfterUnrouted = (state: GatewayState): number =>
  withJitter(state, STORE_RETRY_MS);

/** Retry delay for a request that this process cannot answer before it ends, in milliseconds: another gateway can. */
export const retryAfterStopping = (state: GatewayState): number => withJitter(state, 0);

/** Retry delay for a request that was given up, in milliseconds. */
export const retryAfter = (
  state: GatewayState,
  request: ActiveRequest,
  reason: RefusalReason,
  at: number,
): number => {
  if (reason === 'replicas-full') {
    return withJitter(state, untilNextSlot(state, request, at), classFactor(request));
  }
  if (reason === 'no-room') {
    return withJitter(state, expectedWaitOf(state, request, at), classFactor(request));
  }
  const { allowedRegions } = request.route;
  const waits = request.legs
    .filter(({ outcome }) => outcome?.type === 'unanswered')
    .map(({ service }) => untilNextReplica(eligibleReplicas(state, service, allowedRegions), at));
  return withJitter(state, Math.max(0, ...waits));
};
