/**
 * Assigns feeders to shards. A feeder connects to a shard's replicas on behalf of all gateways of its region, which keeps
 * connections few and warm and its measurements of the replicas recent.
 *
 * Every gateway computes the plan from the listed gateways without messages. Feeders are the gateways with the highest
 * processor capacity in the zones that hold the replicas; their number depends on the number of shards. Weighted rendezvous
 * hashing orders the feeders of each shard, so that a change of the listed gateways moves few shards.
 */
import type { PeerRecord } from '../model/peer-record.js';
import { uniformHash, rankByRendezvous } from './rendezvous.js';

/** Average number of shards per feeder. */
const SHARDS_PER_FEEDER = 8;

/** Weak gateways also become feeders if a feeder would otherwise have more shards than this. */
const MAX_SHARDS_PER_FEEDER = 24;

/** A gateway with less than this fraction of the strongest one's capacity is weak. */
const WEAK_CAPACITY_SHARE = 0.5;

/** Minimum number of feeders in a region, if it has as many gateways. */
const MIN_FEEDERS = 3;

/** Length of the ordered list of feeders of a shard. */
const RANKED_FEEDERS = 4;

/** A zone with less than this fraction of the replicas of the fullest zone is taken to hold only a part of the index. */
const FULL_ZONE_SHARE = 0.5;

const byCapacity = (left: PeerRecord, right: PeerRecord): number =>
  right.capacity - left.capacity || uniformHash(left.name) - uniformHash(right.name);

/** Zones that hold at least `FULL_ZONE_SHARE` of the replicas of the fullest zone. */
const fullZones = (replicasByZone: ReadonlyMap<string, number>): ReadonlySet<string> => {
  const most = Math.max(0, ...replicasByZone.values());
  const full = [...replicasByZone].filter(([, count]) => count >= most * FULL_ZONE_SHARE);
  return new Set(full.map(([zone]) => zone));
};

/**
 * Gateways in the zones of the replicas, or all gateways of the region if those are too few. The answers of replicas are by
 * far the most bytes of a gather, and a feeder forwards only the greatest records.
 */
const gatewaysNearReplicas = (
  gatewaysOfRegion: readonly PeerRecord[],
  replicasByZone: ReadonlyMap<string, number>,
  minCount: number,
): readonly PeerRecord[] => {
  const zones = fullZones(replicasByZone);
  const near = gatewaysOfRegion.filter(({ zone }) => zones.has(zone));
  return near.length >= minCount ? near : gatewaysOfRegion;
};

/**
 * Selects the gateways with the highest capacity. Weak ones are left out if enough others remain, since a message to a weak
 * feeder costs the coordinator as much as a message to a strong one.
 */
const selectFeeders = (
  gatewaysOfRegion: readonly PeerRecord[],
  shards: number,
  replicasByZone: ReadonlyMap<string, number>,
): readonly PeerRecord[] => {
  const feederCount = Math.max(MIN_FEEDERS, Math.ceil(shards / SHARDS_PER_FEEDER));
  const minCount = Math.max(MIN_FEEDERS, Math.ceil(shards / MAX_SHARDS_PER_FEEDER));
  const candidates = gatewaysNearReplicas(gatewaysOfRegion, replicasByZone, minCount);
  const strongest = [...candidates].sort(byCapacity).slice(0, feederCount);
  const minCapacity = (strongest[0]?.capacity ?? 0) * WEAK_CAPACITY_SHARE;
  return strongest.filter(({ capacity }, index) => capacity >= minCapacity || index < minCount);
};

/** The feeders of one region for a number of shards. */
export class FeederPlan {
  readonly feeders: readonly PeerRecord[];
  private readonly ranked = new Map<string, readonly PeerRecord[]>();

  /**
   * @param replicasByZone - number of replicas of these shards in each zone of the region
   */
  constructor(
    gatewaysOfRegion: readonly PeerRecord[],
    shards: number,
    replicasByZone: ReadonlyMap<string, number> = new Map(),
  ) {
    this.feeders = selectFeeders(gatewaysOfRegion, shards, replicasByZone);
  }

  /** The feeders of a shard in order of preference. */
  feedersOf(service: string): readonly PeerRecord[] {
    const known = this.ranked.get(service);
    if (known !== undefined) {
      return known;
    }
    const ranked = rankByRendezvous(service, this.feeders).slice(0, RANKED_FEEDERS);
    this.ranked.set(service, ranked);
    return ranked;
  }

  /** Zero-based rank of a gateway among the feeders of a shard; -1 if it is not one of them. */
  rankOf(service: string, name: string): number {
    return this.feedersOf(service).findIndex((peer) => peer.name === name);
  }
}
