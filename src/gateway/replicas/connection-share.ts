/**
 * This gateway's share of the connections that a replica accepts from all callers together.
 *
 * After all machines lose power at once, replicas still hold the connections of the processes before
 * for a while and reset those that are too many. A smaller share at first leaves room for both.
 */
import { CONNECTIONS_USE, maxConnectionsOf, shareOf } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';

/** Part of the steady share in the first time of a process, unless the whole tier starts. */
const STARTING_PART = 0.5;

/** How long the processes before may still be held to have connections, in milliseconds. */
const STARTING_MS = 15_000;

/** Connections that this gateway may hold to one replica of `service`. */
export const connectionShare = (state: GatewayState, service: string, at: number): number => {
  const isStarting = !state.settings.firstStart && at - state.startedAt < STARTING_MS;
  const part = isStarting ? CONNECTIONS_USE * STARTING_PART : CONNECTIONS_USE;
  const shared = maxConnectionsOf(state, service) * part;
  return Math.max(1, Math.floor(shared * shareOf(state, service)));
};
