/**
 * When a caller whose request has not run should come back: after the time to the next chance, as far as
 * this gateway can tell, spread over as long again so that callers do not return together.
 */
import type { RefusalReason } from '../model/request.js';
import type { Replica } from '../replicas/replica.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

/**
 * Where nothing tells when the next chance comes, in milliseconds: another gateway, to which the caller's
 * next connection goes, may serve at once.
 */
const MIN_RETRY_AFTER_MS = 50;

/** Coming back later is no use to most callers, in milliseconds: their objectives are shorter. */
const MAX_RETRY_AFTER_MS = 1_000;

/** A gateway that has not read the store tries again within this time, in milliseconds. */
const STORE_RETRY_MS = 100;

const withJitter = (state: GatewayState, waitMs: number): number => {
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  return Math.round(bounded * (1 + state.random.next()));
};

/** When the first replica that failed lately is tried again; 0 where one is not passed over. */
const untilNextReplica = (replicas: readonly Replica[], at: number): number => {
  const waits = replicas.map(({ ejectedUntil }) => Math.max(0, ejectedUntil - at));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/** A slot of a full replica is free after about the time that a request usually takes. */
const untilNextSlot = (state: GatewayState, { route }: ActiveRequest): number =>
  state.latencies.get(route.name)?.median ?? 0;

/** The wait for a request that was refused before it had a route. */
export const retryAfterUnrouted = (state: GatewayState): number =>
  withJitter(state, STORE_RETRY_MS);

/** The wait for a request that was given up, in milliseconds. */
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
