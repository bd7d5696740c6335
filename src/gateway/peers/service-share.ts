/**
 * Whether replicas of a service are spoken to through feeders, and this gateway's share of what all
 * gateways together may use of a service: the connections of each replica and the slack of the retry
 * budget.
 */
import type { GatewayState } from '../state.js';
import { FeederPlan } from './feeder-plan.js';

/** Connections of one replica where its service says nothing. */
const DEFAULT_MAX_CONNECTIONS = 32;

/** Part of a replica's connections that all gateways together use. */
export const CONNECTIONS_USE = 0.9;

/** Every gateway speaks to the replicas itself while so many connections fall to each. */
const MIN_DIRECT_CONNECTIONS = 1.5;

/** A replica hears too seldom from each of more gateways to keep connections warm. */
const MAX_DIRECT_GATEWAYS = 16;

/** Parts of the first and the second feeder of a shard; all others share the rest. */
const FIRST_FEEDER_PART = 0.5;
const SECOND_FEEDER_PART = 0.25;
const REST_PART = 1 - FIRST_FEEDER_PART - SECOND_FEEDER_PART;

/** Connections that one replica of `service` accepts from all callers together. */
export const maxConnectionsOf = (state: GatewayState, service: string): number =>
  state.inForce?.configuration.services.get(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;

/** Whether gathers reach the replicas of a shard through feeders. */
export const isFed = (state: GatewayState, service: string): boolean => {
  const connections = (maxConnectionsOf(state, service) * CONNECTIONS_USE) / state.gateways;
  return connections < MIN_DIRECT_CONNECTIONS || state.gateways > MAX_DIRECT_GATEWAYS;
};

const regionOf = (state: GatewayState, zone: string): string =>
  state.settings.zoneRegions[zone] ?? '';

/** The plan for this gateway's region; made anew when the gateways or the shards have changed. */
export const feederPlan = (state: GatewayState): FeederPlan => {
  const { peers, inForce } = state;
  const known = state.feeders;
  if (known?.generation === peers.generation && known.inForce === inForce) {
    return known.plan;
  }
  const region = regionOf(state, state.settings.zone);
  const gateways = [...peers.all()].filter(({ zone }) => regionOf(state, zone) === region);
  const plan = new FeederPlan(gateways, inForce?.shards.size ?? 0);
  state.feeders = { plan, generation: peers.generation, inForce };
  return plan;
};

const partOfRank = (rank: number): number => {
  if (rank === 0) {
    return FIRST_FEEDER_PART;
  }
  return rank === 1 ? SECOND_FEEDER_PART : 0;
};

const isShard = (state: GatewayState, service: string): boolean =>
  state.inForce?.shards.has(service) ?? false;

/** This gateway's share of a service, 0 to 1; the shares of all gateways together are at most 1. */
export const shareOf = (state: GatewayState, service: string): number => {
  const { gateways, settings } = state;
  if (!isShard(state, service) || !isFed(state, service)) {
    return 1 / gateways;
  }
  const rank = feederPlan(state).rankOf(service, settings.node);
  const regions = Math.max(1, new Set(Object.values(settings.zoneRegions)).size);
  return Math.max(partOfRank(rank) / regions, REST_PART / gateways);
};
