/**
 * Holds requests that arrive before this process knows a configuration and the replicas. After all
 * gateways have lost power, their callers come back in the same tenth of a second: most have one retry,
 * and an immediate refusal would use it up at another gateway that has not read the store either.
 */
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import type { CallId } from '../model/request.js';
import type { GatewayState } from '../state.js';
import { refuseCall } from './finish.js';

/**
 * Longest time that a request is held, in milliseconds. The first configuration and the replicas were in
 * force 45 to 75 ms after the ports were open (the users' bench, logs of two closing losses of power).
 */
const LONGEST_HOLD_MS = 200;

/**
 * A request is held for no more than this part of the time that its caller waits: enough is left for one
 * more try elsewhere.
 */
const HOLD_SHARE = 0.1;

/** Holds a request; it is refused when nothing is known by the time its timer is due. */
export const holdRequest = (state: GatewayState, event: RequestReceived): GatewayEffect[] => {
  const { call, request, at } = event;
  const patienceMs = request.budgetMs ?? Number.POSITIVE_INFINITY;
  const holdMs = Math.min(LONGEST_HOLD_MS, patienceMs * HOLD_SHARE);
  state.held.set(call, event);
  return [{ type: 'set-request-timer', call, at: at + holdMs }];
};

/** Refuses a request that was held long enough. */
export const refuseHeldRequest = (
  state: GatewayState,
  call: CallId,
  at: number,
): GatewayEffect[] => {
  const event = state.held.get(call);
  if (event === undefined) {
    return [];
  }
  state.held.delete(call);
  return refuseCall(state, event, 'no-configuration', true, at);
};
