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
const SHORTEST_MS = 50;

/** Coming back later is no use to most callers, in milliseconds: their objectives are shorter. */
const LONGEST_MS = 1_000;

/** A gateway that has not read the store tries again within this time, in milliseconds. */
const NEXT_STORE_CALL_MS = 100;

const spread = (state: GatewayState, nextChanceMs: number): number => {
  const bounded = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, nextChanceMs));
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
export const retryAfterUnread = (state: GatewayState): number => spread(state, NEXT_STORE_CALL_MS);

/** The wait for a request that was given up, in milliseconds. */
export const retryAfter = (
  state: GatewayState,
  request: ActiveRequest,
  reason: RefusalReason,
  at: number,
): number => {
  if (reason === 'replicas-full') {
    return spread(state, untilNextSlot(state, request));
  }
  const { allowedRegions } = request.route;
  const waits = request.legs
    .filter(({ outcome }) => outcome?.type === 'unanswered')
    .map(({ service }) => untilNextReplica(eligibleReplicas(state, service, allowedRegions), at));
  return spread(state, Math.max(0, ...waits));
};
