/** Gives up what replicas and feeders still do for a request. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import type { ActiveRequest } from './request-state.js';

const abortAttempts = ({ legs }: ActiveRequest, withinMs: number): GatewayEffect[] =>
  legs.flatMap((leg) =>
    [...leg.running].map((attempt): GatewayEffect => ({
      type: 'abort-attempt',
      attempt,
      withinMs,
    })),
  );

const cancelSubqueries = (
  state: GatewayState,
  { subqueries }: ActiveRequest,
  withinMs: number,
): GatewayEffect[] => {
  const ids = [...subqueries.keys()];
  subqueries.clear();
  return ids.map((id) => {
    state.subqueries.delete(id);
    return { type: 'cancel-subquery', id, withinMs };
  });
};

/**
 * Gives up the attempts and subqueries of a request that still run.
 *
 * @param withinMs - time that they have to end by themselves, in milliseconds
 */
export const giveUpAttempts = (
  state: GatewayState,
  request: ActiveRequest,
  withinMs: number,
): GatewayEffect[] => [
  ...abortAttempts(request, withinMs),
  ...cancelSubqueries(state, request, withinMs),
];
