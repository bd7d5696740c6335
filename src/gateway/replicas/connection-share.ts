/**
 * This gateway's share of the connections that a replica accepts from all callers together.
 *
 * After all machines lose power at once, replicas still hold the connections of the processes before
 * for a while and reset those that are too many. A smaller share at first leaves room for both.
 */
import type { GatewayState } from '../state.js';

/** Connections of one replica where its service says nothing. */
const DEFAULT_MAX_CONNECTIONS = 32;

/** Part of a replica's connections that all gateways together use. */
const STEADY_PART = 0.9;

/** The same in the first time of a process, unless the whole tier starts for the first time. */
const STARTING_PART = 0.45;

/** How long the processes before may still be held to have connections, in milliseconds. */
const STARTING_MS = 15_000;

/** Connections that this gateway may hold to one replica of `service`. */
export const connectionShare = (state: GatewayState, service: string, at: number): number => {
  const policy = state.inForce?.configuration.services.get(service);
  const shared = policy?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const isStarting = !state.settings.firstStart && at - state.startedAt < STARTING_MS;
  const part = isStarting ? STARTING_PART : STEADY_PART;
  return Math.max(1, Math.floor((shared * part) / state.gateways));
};

/** Whether each gateway may hold a connection to each replica of `service`, with room to spare. */
export const hasRoomForAll = (state: GatewayState, service: string): boolean => {
  const policy = state.inForce?.configuration.services.get(service);
  const shared = policy?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  return shared * STARTING_PART >= state.gateways;
};
