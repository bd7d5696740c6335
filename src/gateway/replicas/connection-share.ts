/**
 * This gateway's share of the connections that a replica accepts from all callers together.
 *
 * After all machines lose power at once, replicas hold the connections of the previous processes for a while and reset
 * connections beyond their limit. A smaller share during startup leaves room for old and new connections.
 */
import { USABLE_CONNECTIONS_SHARE, maxConnectionsOf, shareOf } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';

/** Fraction of the steady share that a process uses during startup, unless the whole tier starts for the first time. */
const STARTUP_SHARE = 0.5;

/** How long replicas may still hold connections of the previous processes, in milliseconds. */
const STARTUP_MS = 15_000;

/** Number of connections that this gateway may hold to one replica of `service`, at least 1. */
export const connectionShare = (state: GatewayState, service: string, at: number): number => {
  const isStarting = !state.settings.firstStart && at - state.startedAt < STARTUP_MS;
  const usedShare = isStarting
    ? USABLE_CONNECTIONS_SHARE * STARTUP_SHARE
    : USABLE_CONNECTIONS_SHARE;
  const usableConnections = maxConnectionsOf(state, service) * usedShare;
  return Math.max(1, Math.floor(usableConnections * shareOf(state, service)));
};
