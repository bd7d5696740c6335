/**
 * This gateway's share of the connections that a replica accepts from all callers together.
 *
 * After all machines lose power at once, replicas still hold the connections of the processes before
 * for a while and reset those that are too many. A smaller share at first leaves room for both.
 */
import { USABLE_CONNECTIONS_SHARE, maxConnectionsOf, shareOf } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';

/** Part of the steady share in the first time of a process, unless the whole tier starts. */
const STARTUP_SHARE = 0.5;

/** How long the processes before may still be held to have connections, in milliseconds. */
const STARTUP_MS = 15_000;

/** Connections that this gateway may hold to one replica of `service`. */
export const connectionShare = (state: GatewayState, service: string, at: number): number => {
  const isStarting = !state.settings.firstStart && at - state.startedAt < STARTUP_MS;
  const usedShare = isStarting
    ? USABLE_CONNECTIONS_SHARE * STARTUP_SHARE
    : USABLE_CONNECTIONS_SHARE;
  const usableConnections = maxConnectionsOf(state, service) * usedShare;
  return Math.max(1, Math.floor(usableConnections * shareOf(state, service)));
};
