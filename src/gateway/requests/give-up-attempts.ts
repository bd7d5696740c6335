/** Gives up the attempts and subqueries that are still running for a request. */
import type { GatewayEffect } from '../effect.js';
import { stopWaiting } from '../scheduling/wait-for-room.js';
import type { GatewayState } from '../state.js';
import { guardOf } from './guard.js';
import type { ActiveRequest, Leg } from './request-state.js';

/**
 * Time that unneeded attempts have to finish before their connections are closed, in milliseconds. Most finish in that
 * time under normal load. With 400 ms, slow replicas spent their time on unneeded attempts while other requests waited.
 */
export const LINGER_MS = 40;

/**
 * The same for a request that may have crashed replicas, in milliseconds: the end of its attempt shows whether it does,
 * and an answer clears it. With half a second, too many replicas work for callers that have left.
 */
const SUSPECTED_LINGER_MS = 400;

/** Aborts the running attempts of a leg; each has `withinMs` milliseconds to finish first. */
export const abortLeg = ({ running }: Leg, withinMs: number): GatewayEffect[] =>
  [...running].map((attempt): GatewayEffect => ({ type: 'abort-attempt', attempt, withinMs }));

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
 * Gives up the attempts of a request's open legs, also those that wait, and its subqueries. The remaining attempts of ended
 * legs were given up when those legs ended.
 *
 * @param minMs - time that they have to finish, in milliseconds; longer when the request may have crashed replicas
 */
export const giveUpAttempts = (
  state: GatewayState,
  request: ActiveRequest,
  minMs: number,
  at: number,
): GatewayEffect[] => {
  const isSuspected = guardOf(state, request, at) !== 'free';
  const withinMs = isSuspected ? Math.max(minMs, SUSPECTED_LINGER_MS) : minMs;
  request.legs.forEach((leg) => {
    stopWaiting(state, leg);
  });
  return [
    ...request.legs
      .filter(({ outcome }) => outcome === undefined)
      .flatMap((leg) => abortLeg(leg, withinMs)),
    ...cancelSubqueries(state, request, withinMs),
  ];
};
