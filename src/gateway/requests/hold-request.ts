/**
 * Holds requests that arrive before this process knows a configuration and the replicas, or before it has confirmed its
 * knowledge after a process pause, and requests with keys that are about to be confirmed. After a power failure of all gateways, their callers return within the same tenth of a
 * second. Most have one retry, and an immediate refusal would spend it at another gateway that has not read the store
 * either.
 */
import { isConfirmationAwaited } from '../authorization/key-admission.js';
import type { GatewayEffect } from '../effect.js';
import type { RequestReceived } from '../event.js';
import type { CallId } from '../model/request.js';
import { collectionsOf, type GatewayState, canServe } from '../state.js';
import type { CollectionName } from '../store/collection.js';
import { refuseCall } from './finish.js';
import { retryAfterUnrouted } from './retry-after.js';

/**
 * Longest time that a request is held, in milliseconds. After a power failure of all gateways, the first configuration
 * and the replicas are in force 45 to 75 ms after the ports open; the rest allows for slower or busier machines.
 */
const MAX_HOLD_MS = 200;

/** Largest share of the caller's timeout for which a request is held; the rest is for a retry at another gateway. */
const HOLD_SHARE = 0.1;

/** Whether a collection is required to serve requests; the list of gateways is not. */
const isRequired = (name: CollectionName): boolean => name !== 'gateways';

/**
 * Whether the store fails to deliver a required collection, for an unknown time. False while knowledge is
 * unconfirmed after a process pause: a gateway that finds the store failing then resumes with the knowledge that it has.
 */
const isStoreFailing = (state: GatewayState): boolean =>
  state.pauseRecovery === undefined &&
  (!state.store.reachable ||
    collectionsOf(state)
      .filter(isRequired)
      .some((name) => {
        const { isListed, failures } = state.collections[name];
        return !isListed && failures > 0;
      }));

/** Holds a request, which is refused when its timer expires. While the store fails, the request is refused at once. */
export const holdRequest = (state: GatewayState, event: RequestReceived): GatewayEffect[] => {
  if (isStoreFailing(state)) {
    return refuseCall(state, event, 'no-configuration', retryAfterUnrouted(state));
  }
  return hold(state, event);
};

const hold = (state: GatewayState, event: RequestReceived): GatewayEffect[] => {
  const { call, request, at } = event;
  const callerWaitMs = request.budgetMs ?? Number.POSITIVE_INFINITY;
  const holdMs = Math.min(MAX_HOLD_MS, callerWaitMs * HOLD_SHARE);
  state.held.set(call, event);
  return [{ type: 'set-request-timer', call, at: at + holdMs }];
};

/** Holds a request whose key is unconfirmed if a confirmation is about to arrive, and refuses it otherwise. */
export const holdUntilConfirmed = (
  state: GatewayState,
  event: RequestReceived,
  at: number,
): GatewayEffect[] =>
  isConfirmationAwaited(state, at)
    ? hold(state, event)
    : refuseCall(state, event, 'keys-unconfirmed', retryAfterUnrouted(state), at);

/** Refuses a held request; without effect if the call is not held. */
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
  // Once this gateway can serve, it holds only requests whose keys are unconfirmed.
  const reason = canServe(state) ? 'keys-unconfirmed' : 'no-configuration';
  return refuseCall(state, event, reason, retryAfterUnrouted(state), at);
};

/** Refuses all held requests once the store has failed. */
export const refuseAllHeldRequests = (state: GatewayState, at: number): GatewayEffect[] =>
  canServe(state) || !isStoreFailing(state)
    ? []
    : [...state.held.keys()].flatMap((call) => refuseHeldRequest(state, call, at));
