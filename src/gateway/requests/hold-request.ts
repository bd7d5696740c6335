/**
 * Holds requests that arrive before this process knows a configuration and the replicas, or has had confirmed what it knows
 * after it stood still. After all
 * gateways have lost power, their callers come back in the same tenth of a second: most have one retry,
 * and an immediate refusal would use it up at another gateway that has not read the store either.
 */
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import type { CallId } from '../model/request.js';
import { collectionsOf, type GatewayState, canServe } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { refuseCall } from './finish.js';
import { retryAfterUnread } from './retry-after.js';

/**
 * Longest time that a request is held, in milliseconds. After a loss of power of all gateways, the first
 * configuration and the replicas are in force 45 to 75 ms after the ports are open; the rest is for machines
 * that are slower or busier.
 */
const LONGEST_HOLD_MS = 200;

/**
 * A request is held for no more than this part of the time that its caller waits: enough is left for one
 * more try elsewhere.
 */
const HOLD_SHARE = 0.1;

/** Requests can be served without the list of gateways. */
const isNeeded = (name: CollectionName): boolean => name !== 'gateways';

/**
 * Whether the store has failed to tell what is needed: it is not known how long that goes on. A gateway that stood still
 * goes on with what it knows once it finds that.
 */
const isStoreFailing = (state: GatewayState): boolean =>
  state.pauseRecovery === undefined &&
  (!state.store.reachable ||
    collectionsOf(state)
      .filter(isNeeded)
      .some((name) => {
        const { isListed, failures } = state.collections[name];
        return !isListed && failures > 0;
      }));

/**
 * Holds a request; it is refused when nothing is known by the time its timer is due, and at once while the
 * store fails.
 */
export const holdRequest = (state: GatewayState, event: RequestReceived): GatewayEffect[] => {
  if (isStoreFailing(state)) {
    return refuseCall(state, event, 'no-configuration', retryAfterUnread(state));
  }
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
  return refuseCall(state, event, 'no-configuration', retryAfterUnread(state), at);
};

/** Refuses all requests that are held, once the store has failed. */
export const refuseAllHeld = (state: GatewayState, at: number): GatewayEffect[] =>
  canServe(state) || !isStoreFailing(state)
    ? []
    : [...state.held.keys()].flatMap((call) => refuseHeldRequest(state, call, at));
