/**
 * Determines whether the replicas of a service are reached through feeders, and this gateway's share of the limits that all
 * gateways have in common: the connections of each replica and the slack of the retry budget.
 */
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayState, CachedFeederPlan } from '../state.js';
import { FeederPlan } from './feeder-plan.js';

/** Connection limit of a replica if the configuration of its service gives none. */
const DEFAULT_MAX_CONNECTIONS = 32;

/** Fraction of a replica's connection limit that all gateways together use. */
export const USABLE_CONNECTIONS_SHARE = 0.9;

/** Gateways connect to the replicas directly if each of them may hold at least this many connections to a replica. */
const MIN_DIRECT_CONNECTIONS = 1.5;

/** With more gateways than this, each sends to a replica too rarely to keep a direct connection warm. */
const MAX_DIRECT_GATEWAYS = 16;

/**
 * Shares of the feeders of a shard by rank; all other gateways divide the rest. The third and the fourth feeder take over
 * when the zone of the first two is lost: without retry slack of their own they could not repeat the requests of those.
 */
const FEEDER_SHARES: readonly number[] = [0.4, 0.25, 0.15, 0.1];
const REMAINING_SHARE = 1 - FEEDER_SHARES.reduce((sum, part) => sum + part, 0);

/** Number of connections that one replica of `service` accepts from all callers together. */
export const maxConnectionsOf = (state: GatewayState, service: string): number =>
  state.inForce?.configuration.services.get(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;

/** Whether gathers reach the replicas of `service` through feeders. */
export const isFed = (state: GatewayState, service: string): boolean => {
  const connections =
    (maxConnectionsOf(state, service) * USABLE_CONNECTIONS_SHARE) / state.gateways;
  return connections < MIN_DIRECT_CONNECTIONS || state.gateways > MAX_DIRECT_GATEWAYS;
};

/** Region of a zone. */
export const regionOf = (state: GatewayState, zone: string): string =>
  state.settings.zoneRegions[zone] ?? '';

/** Number of listed replicas of the shards in each zone of this gateway's region. */
const replicasByZone = (state: GatewayState): ReadonlyMap<string, number> => {
  const region = regionOf(state, state.settings.zone);
  const counts = new Map<string, number>();
  for (const service of state.inForce?.shards ?? []) {
    for (const { record, goneAt } of state.replicas.of(service)) {
      if (goneAt === undefined && regionOf(state, record.zone) === region) {
        counts.set(record.zone, (counts.get(record.zone) ?? 0) + 1);
      }
    }
  }
  return counts;
};

const isCurrentPlan = (
  { peers, replicas, inForce }: GatewayState,
  known: CachedFeederPlan,
): boolean =>
  known.peersGeneration === peers.generation &&
  known.replicasGeneration === replicas.generation &&
  known.inForce === inForce;

const isSameList = (left: readonly PeerRecord[], right: readonly PeerRecord[]): boolean =>
  left.length === right.length && left.every((peer, index) => peer === right[index]);

/**
 * The feeder plan of this gateway's region. It is recomputed when the gateways, the replicas or the shards have changed; if
 * the feeders are the same, the previous plan object is returned.
 */
export const feederPlan = (state: GatewayState): FeederPlan => {
  const { peers, replicas, inForce, feeders: known } = state;
  if (known !== undefined && isCurrentPlan(state, known)) {
    return known.plan;
  }
  const region = regionOf(state, state.settings.zone);
  const gateways = [...peers.all()].filter(({ zone }) => regionOf(state, zone) === region);
  const newPlan = new FeederPlan(gateways, inForce?.shards.size ?? 0, replicasByZone(state));
  const isSame = known !== undefined && isSameList(known.plan.feeders, newPlan.feeders);
  const plan = isSame ? known.plan : newPlan;
  state.feeders = {
    plan,
    peersGeneration: peers.generation,
    replicasGeneration: replicas.generation,
    inForce,
  };
  return plan;
};

const shareOfRank = (rank: number): number => FEEDER_SHARES[rank] ?? 0;

const isShard = (state: GatewayState, service: string): boolean =>
  state.inForce?.shards.has(service) ?? false;

/** Whether a service is a shard whose replicas are reached only through feeders. */
export const isFedShard = (state: GatewayState, service: string): boolean =>
  isShard(state, service) && isFed(state, service);

/** Whether the known list of gateways contains this one, so that the others leave it a share. */
export const isListed = ({ peers, settings }: GatewayState): boolean => peers.has(settings.node);

/**
 * This gateway's share of the limits of a service, 0 to 1; the shares of all gateways that know the same list add up to at
 * most 1. A process that has just started and does not know the list, or is not in it, has none, except at the first start of
 * the whole tier: no earlier process has used anything then, and a number of gateways is assumed.
 */
export const shareOf = (state: GatewayState, service: string): number => {
  const { gateways, settings } = state;
  if (!isListed(state) && !settings.firstStart) {
    return 0;
  }
  if (!isFedShard(state, service)) {
    return 1 / gateways;
  }
  const rank = feederPlan(state).rankOf(service, settings.node);
  const regions = Math.max(1, new Set(Object.values(settings.zoneRegions)).size);
  return Math.max(shareOfRank(rank) / regions, REMAINING_SHARE / gateways);
};
