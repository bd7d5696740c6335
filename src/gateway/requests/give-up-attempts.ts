/** Gives up what replicas and feeders still do for a request. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import { guardOf } from './guard.js';
import type { ActiveRequest, Leg } from './request-state.js';

/**
 * Time that attempts which are no longer wanted have to end by themselves, in milliseconds; then their
 * connections are closed. Most end in that time on a calm day. With 400 ms, slow replicas worked for
 * nobody while others waited: see the rounds in docs/policy.md.
 */
export const LINGER_MS = 40;

/**
 * The same where replicas may have ended under the request, in milliseconds: how its attempt ends shows whether they do,
 * and an answer clears it. Replicas that work on for half a second for callers who have left are too many.
 */
const SUSPECTED_LINGER_MS = 400;

/** Gives up the attempts of a leg that still run. */
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
 * Gives up the attempts and subqueries of a request that are still wanted. The other attempts of legs that
 * have ended were given up when those ended.
 *
 * @param minMs - time that they have to end by themselves, in milliseconds; longer where the request is suspected
 */
export const giveUpAttempts = (
  state: GatewayState,
  request: ActiveRequest,
  minMs: number,
  at: number,
): GatewayEffect[] => {
  const isSuspected = guardOf(state, request, at) !== 'free';
  const withinMs = isSuspected ? Math.max(minMs, SUSPECTED_LINGER_MS) : minMs;
  return [
    ...request.legs
      .filter(({ outcome }) => outcome === undefined)
      .flatMap((leg) => abortLeg(leg, withinMs)),
    ...cancelSubqueries(state, request, withinMs),
  ];
};
