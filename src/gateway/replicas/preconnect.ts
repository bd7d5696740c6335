/**
 * Opens connections to replicas before they are needed: at the start, and when the shards of another
 * index appear before the configuration names them.
 */
import type { GatewayEffect } from '../effect.js';
import { servicesOf } from '../model/route.js';
import type { GatewayState } from '../state.js';
import { hasRoomForAll } from './connection-share.js';
import type { Replica } from './replica.js';

/** Services that routes send single requests to: a new connection matters little there. */
const singleServices = (state: GatewayState): ReadonlySet<string> => {
  const routes = state.inForce?.configuration.routes ?? [];
  const singles = routes.filter(({ target }) => target.type !== 'gather');
  return new Set(singles.flatMap(({ target }) => servicesOf(target)));
};

const isWanted = ({ preconnected, goneAt, record }: Replica): boolean =>
  !preconnected && goneAt === undefined && !record.draining;

/** Opens a connection to each replica of a shard that was not known before. */
export const preconnectReplicas = (state: GatewayState): GatewayEffect[] => {
  if (state.inForce === undefined || !state.replicasListed) {
    return [];
  }
  const fresh = [...state.replicas.all()].filter(isWanted);
  if (fresh.length === 0) {
    return [];
  }
  const singles = singleServices(state);
  return fresh.flatMap((replica): GatewayEffect[] => {
    replica.preconnected = true;
    const { service } = replica.record;
    const isShard = !singles.has(service) && hasRoomForAll(state, service);
    return isShard ? [{ type: 'open-connection', replica: replica.record }] : [];
  });
};
