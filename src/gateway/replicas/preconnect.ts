/**
 * Opens connections to feeders and replicas before they are needed: at startup, and when the replicas of a new index are
 * listed before the configuration names its shards.
 */
import type { GatewayEffect } from '../effect.js';
import { servicesOf } from '../model/route.js';
import { feederPlan, isFed } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';
import { isZoneOpen } from './eligible-replicas.js';
import type { Replica } from './replica.js';

/** Services outside gathers, which get no early connections: a new connection costs a single request little time. */
const singleServices = (state: GatewayState): ReadonlySet<string> => {
  const routes = state.inForce?.configuration.routes ?? [];
  const singles = routes.filter(({ target }) => target.type !== 'gather');
  return new Set(singles.flatMap(({ target }) => servicesOf(target)));
};

const needsPreconnect = ({ preconnected, goneAt, record }: Replica): boolean =>
  !preconnected && goneAt === undefined && !record.draining;

/** Whether this gateway connects to the replicas of a shard itself. */
const connectsDirectly = (state: GatewayState, service: string): boolean =>
  !isFed(state, service) || feederPlan(state).rankOf(service, state.settings.node) === 0;

/** Opens a connection to each feeder, once per plan. */
const preconnectFeeders = (state: GatewayState): GatewayEffect[] => {
  const isUsed = [...(state.inForce?.shards ?? [])].some((service) => isFed(state, service));
  const plan = feederPlan(state);
  if (!isUsed || plan === state.connectedPlan) {
    return [];
  }
  state.connectedPlan = plan;
  return plan.feeders
    .filter(({ name }) => name !== state.settings.node)
    .map((peer) => ({ type: 'open-peer', peer }));
};

/** Opens a connection to each feeder and to each new replica of a shard. */
export const preconnectReplicas = (state: GatewayState): GatewayEffect[] => {
  if (state.inForce === undefined || !state.replicasListed || !state.gatewaysSettled) {
    return [];
  }
  return [...preconnectFeeders(state), ...preconnectShards(state)];
};

const preconnectShards = (state: GatewayState): GatewayEffect[] => {
  const unconnected = [...state.replicas.all()].filter(
    (replica) => needsPreconnect(replica) && isZoneOpen(state, replica.record.zone),
  );
  if (unconnected.length === 0) {
    return [];
  }
  const singles = singleServices(state);
  return unconnected.flatMap((replica): GatewayEffect[] => {
    replica.preconnected = true;
    const { service } = replica.record;
    const isShard = !singles.has(service) && connectsDirectly(state, service);
    return isShard ? [{ type: 'open-connection', replica: replica.record }] : [];
  });
};
