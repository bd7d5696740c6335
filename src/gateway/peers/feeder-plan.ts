/**
 * Which gateways feed each shard: they speak to its replicas for all gateways of their region, so that
 * connections are few and warm, and what one of them knows of a replica is fresh.
 *
 * Every gateway works the plan out by itself from the listed gateways. Feeders are the gateways with
 * the most processor in the zones that hold the replicas, as many as the shards ask for; among them weighted rendezvous hashing orders the
 * feeders of each shard, so that a change of members moves few shards.
 */
import type { PeerRecord } from '../model/peer-record.js';
import { uniformHash, rankByRendezvous } from './rendezvous.js';

/** Shards that one feeder carries on average. */
const SHARDS_PER_FEEDER = 8;

/** Weaker gateways feed as well where a feeder would carry more shards than this. */
const MAX_SHARDS_PER_FEEDER = 24;

/** A gateway with less than this part of the strongest one's processor is weak. */
const WEAK_CAPACITY_SHARE = 0.5;

/** Least number of feeders in a region that has as many gateways. */
const MIN_FEEDERS = 3;

/** Feeders of a shard that are kept in order of preference. */
const RANKED_FEEDERS = 4;

/** A zone with less than this part of the replicas that the fullest zone has holds the index only in part. */
const FULL_ZONE_SHARE = 0.5;

const byCapacity = (left: PeerRecord, right: PeerRecord): number =>
  right.capacity - left.capacity || uniformHash(left.name) - uniformHash(right.name);

/** Zones that hold about as many replicas as any other. */
const fullZones = (replicasByZone: ReadonlyMap<string, number>): ReadonlySet<string> => {
  const most = Math.max(0, ...replicasByZone.values());
  const full = [...replicasByZone].filter(([, count]) => count >= most * FULL_ZONE_SHARE);
  return new Set(full.map(([zone]) => zone));
};

/**
 * Gateways beside the replicas, where there are enough of them: the parts of replicas are by far the most
 * bytes of a gather, and a feeder sends on only the greatest records.
 */
const gatewaysNearReplicas = (
  gatewaysOfRegion: readonly PeerRecord[],
  replicasByZone: ReadonlyMap<string, number>,
  enough: number,
): readonly PeerRecord[] => {
  const zones = fullZones(replicasByZone);
  const near = gatewaysOfRegion.filter(({ zone }) => zones.has(zone));
  return near.length >= enough ? near : gatewaysOfRegion;
};

/**
 * The gateways with the most processor. Much weaker ones are left out where enough others remain: a
 * message to one costs the gateway that asks as much as a message to a strong one.
 */
const selectFeeders = (
  gatewaysOfRegion: readonly PeerRecord[],
  shards: number,
  replicasByZone: ReadonlyMap<string, number>,
): readonly PeerRecord[] => {
  const wanted = Math.max(MIN_FEEDERS, Math.ceil(shards / SHARDS_PER_FEEDER));
  const enough = Math.max(MIN_FEEDERS, Math.ceil(shards / MAX_SHARDS_PER_FEEDER));
  const candidates = gatewaysNearReplicas(gatewaysOfRegion, replicasByZone, enough);
  const strongest = [...candidates].sort(byCapacity).slice(0, wanted);
  const least = (strongest[0]?.capacity ?? 0) * WEAK_CAPACITY_SHARE;
  return strongest.filter(({ capacity }, index) => capacity >= least || index < enough);
};

/** The plan for the gateways of one region and a number of shards. */
export class FeederPlan {
  readonly feeders: readonly PeerRecord[];
  private readonly ranked = new Map<string, readonly PeerRecord[]>();

  /**
   * @param replicasByZone - replicas of these shards in each zone of the region
   */
  constructor(
    gatewaysOfRegion: readonly PeerRecord[],
    shards: number,
    replicasByZone: ReadonlyMap<string, number> = new Map(),
  ) {
    this.feeders = selectFeeders(gatewaysOfRegion, shards, replicasByZone);
  }

  /** The feeders of a shard, the preferred one first. */
  feedersOf(service: string): readonly PeerRecord[] {
    const known = this.ranked.get(service);
    if (known !== undefined) {
      return known;
    }
    const ranked = rankByRendezvous(service, this.feeders).slice(0, RANKED_FEEDERS);
    this.ranked.set(service, ranked);
    return ranked;
  }

  /** Where a gateway stands among the feeders of a shard; -1 when it is none. */
  rankOf(service: string, name: string): number {
    return this.feedersOf(service).findIndex((peer) => peer.name === name);
  }
}
