/**
 * Retry delays for callers whose requests have not run: this gateway's estimate of the time until the request can be
 * served, with up to 100% jitter so that callers do not return at the same time.
 */
import type { RefusalReason } from '../model/request.js';
import type { Replica } from '../replicas/replica.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
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

const withJitter = (state: GatewayState, waitMs: number): number => {
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  return Math.round(bounded * (1 + state.random.next()));
};

/** Time until the first ejected replica is used again, in milliseconds; 0 when a replica is not ejected. */
const untilNextReplica = (replicas: readonly Replica[], at: number): number => {
  const waits = replicas.map(({ ejectedUntil }) => Math.max(0, ejectedUntil - at));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/** Time until a full replica has a free slot, in milliseconds: about the median latency of the route. */
const untilNextSlot = (state: GatewayState, { route }: ActiveRequest): number =>
  state.latencies.get(route.name)?.median ?? 0;

/** Retry delay for a request refused because the gateway has not read the store, in milliseconds. */
export const retryAfterUnrouted = (state: GatewayState): number =>
  withJitter(state, STORE_RETRY_MS);

/** Retry delay for a request that was given up, in milliseconds. */
export const retryAfter = (
  state: GatewayState,
  request: ActiveRequest,
  reason: RefusalReason,
  at: number,
): number => {
  if (reason === 'replicas-full') {
    return withJitter(state, untilNextSlot(state, request));
  }
  const { allowedRegions } = request.route;
  const waits = request.legs
    .filter(({ outcome }) => outcome?.type === 'unanswered')
    .map(({ service }) => untilNextReplica(eligibleReplicas(state, service, allowedRegions), at));
  return withJitter(state, Math.max(0, ...waits));
};
