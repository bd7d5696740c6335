/** Selects the replica with the lowest expected cost of one more attempt. */
import type { Random } from '../../core/random.js';
import { type Replica, currentSlowdown, freshLoad, slotsOf } from './replica.js';

/** Additional cost of a replica in another zone of the same region, in usual latencies. */
const OTHER_ZONE_COST = 0.35;

/** Additional cost of a replica in another region, in usual latencies. */
const OTHER_REGION_COST = 1;

/** Factor by which a cold replica is slower. */
const COLD_FACTOR = 1.6;

/** Weight of load below the number of slots: some replicas slow down when nearly full. */
const PARTIAL_LOAD_COST = 0.25;

/** A replica is considered stalled if its oldest attempt has run for more than this many usual latencies. */
const STALL_RATIO = 2.5;

/** Additional costs of an ejected replica, and of one that is draining or no longer listed. */
const EJECTED_COST = 200;
const LEAVING_COST = 1_000;

/** Additional cost of a replica outside the preferred ones. */
const NOT_PREFERRED_COST = 100;

/** Range of a random term in the cost, which spreads requests among replicas of nearly equal cost. */
const TIE_BREAK_WIDTH = 0.1;

/** The gateway and the request for which a replica is selected. */
export interface SelectionContext {
  readonly zone: string;
  readonly zoneRegions: Readonly<Record<string, string>>;
  /** How long a leaving replica may still receive attempts, in milliseconds. */
  readonly leavingMs: number;
  /** Connections that this gateway may hold to one replica; further attempts wait for a free one. */
  readonly maxConnections: number;
  /** Identifiers of the replicas that the request should use; undefined if it may use any. */
  readonly preferred: ReadonlySet<string> | undefined;
}

const distanceCost = (replica: Replica, { zone, zoneRegions }: SelectionContext): number => {
  const other = replica.record.zone;
  if (other === zone) {
    return 0;
  }
  const isSameRegion = zoneRegions[other] === zoneRegions[zone];
  return isSameRegion ? OTHER_ZONE_COST : OTHER_REGION_COST;
};

const stallCost = (replica: Replica, at: number): number => {
  const oldest = replica.pending.values().next();
  if (oldest.done === true) {
    return 0;
  }
  const ratio = (at - oldest.value.sentAt) / oldest.value.expectedMs;
  return ratio > STALL_RATIO ? ratio : 0;
};

/** Requests that the replica runs or queues, as far as this gateway knows. */
const busyCount = (replica: Replica, at: number): number => {
  const load = freshLoad(replica, at);
  const others = load === undefined ? 0 : Math.max(0, load.running + load.waiting - 1);
  return Math.max(replica.pending.size, others);
};

/**
 * Expected wait of one more attempt for a slot of a replica, or for a connection to it, in usual latencies.
 *
 * @param maxConnections - connections that this gateway may hold to the replica
 */
export const expectedWait = (replica: Replica, maxConnections: number, at: number): number => {
  const slots = slotsOf(replica);
  const waiting = Math.max(0, busyCount(replica, at) + 1 - slots);
  const waitingHere = Math.max(0, replica.pending.size + 1 - maxConnections);
  return Math.max(waiting / slots, waitingHere / maxConnections);
};

const loadCost = (replica: Replica, maxConnections: number, at: number): number => {
  const slots = slotsOf(replica);
  const partial = (PARTIAL_LOAD_COST * Math.min(busyCount(replica, at), slots)) / slots;
  return partial + expectedWait(replica, maxConnections, at);
};

/** Expected duration of one more attempt at a replica, in usual latencies. */
export const expectedRatio = (replica: Replica, maxConnections: number, at: number): number => {
  const cold = replica.coldUntil > at ? COLD_FACTOR : 1;
  return currentSlowdown(replica, at) * cold * (1 + loadCost(replica, maxConnections, at));
};

const isLeaving = ({ record, goneAt }: Replica): boolean => record.draining || goneAt !== undefined;

/** Whether a replica is ejected or leaving, so that it is only used when no other is left. */
export const isExcluded = (replica: Replica, at: number): boolean =>
  replica.ejectedUntil > at || isLeaving(replica);

/** Additional cost of a replica that should only be used when no other is left. */
const exclusionCost = (replica: Replica, { preferred }: SelectionContext, at: number): number => {
  const ejected = replica.ejectedUntil > at ? EJECTED_COST : 0;
  const leaving = isLeaving(replica) ? LEAVING_COST : 0;
  const isPreferred = preferred?.has(replica.record.id) ?? true;
  return ejected + leaving + (isPreferred ? 0 : NOT_PREFERRED_COST);
};

/** Cost of one more attempt at a replica, in usual latencies. */
const costOf = (replica: Replica, context: SelectionContext, at: number): number => {
  const base = expectedRatio(replica, context.maxConnections, at);
  const excluded = exclusionCost(replica, context, at);
  return base + stallCost(replica, at) + distanceCost(replica, context) + excluded;
};

/**
 * Returns the replica for the next attempt; undefined if none is left.
 *
 * @param attemptedReplicas - identifiers of replicas that the request has been sent to
 */
export const selectReplica = (
  replicas: readonly Replica[],
  attemptedReplicas: ReadonlySet<string>,
  context: SelectionContext,
  random: Random,
  at: number,
): Replica | undefined => {
  let best: Replica | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const replica of replicas) {
    if (attemptedReplicas.has(replica.record.id) || isPastDrain(replica, context, at)) {
      continue;
    }
    const cost = costOf(replica, context, at) + random.next() * TIE_BREAK_WIDTH;
    if (cost < bestCost) {
      best = replica;
      bestCost = cost;
    }
  }
  return best;
};

const isPastDrain = (replica: Replica, { leavingMs }: SelectionContext, at: number): boolean => {
  const since = replica.record.draining ? replica.drainingSince : replica.goneAt;
  return since !== undefined && at - since > leavingMs;
};

/** Attempts of this gateway that end at a full replica during one usual latency; none at a stalled one. */
const throughput = (replica: Replica, { maxConnections }: SelectionContext, at: number): number =>
  stallCost(replica, at) > 0
    ? 0
    : Math.min(slotsOf(replica), maxConnections) / currentSlowdown(replica, at);

/**
 * Returns the replica to use in place of `best`, which has no room: the best one that has room, unless waiting for room is
 * expected to take less time than it would take longer. Those before the attempt wait for the same replicas: the full ones
 * that cost less than the one with room. A replica that should only be used when no other is left does not replace one that is
 * merely full.
 *
 * @param ahead - number of attempts that wait before this one
 */
export const selectReplicaWithRoom = (
  replicas: readonly Replica[],
  attemptedReplicas: ReadonlySet<string>,
  context: SelectionContext,
  random: Random,
  best: Replica,
  ahead: number,
  hasRoom: (replica: Replica) => boolean,
  at: number,
): Replica | undefined => {
  const maxExclusion = exclusionCost(best, context, at);
  const usable = replicas.filter(
    (replica) => hasRoom(replica) && exclusionCost(replica, context, at) <= maxExclusion,
  );
  const replica = selectReplica(usable, attemptedReplicas, context, random, at);
  if (replica === undefined) {
    return undefined;
  }
  const cost = costOf(replica, context, at);
  const awaited = replicas.filter(
    (other) => !usable.includes(other) && costOf(other, context, at) < cost,
  );
  const endsPerLatency = awaited.reduce((sum, other) => sum + throughput(other, context, at), 0);
  const isWaitShorter =
    endsPerLatency > 0 && costOf(best, context, at) + ahead / endsPerLatency < cost;
  return isWaitShorter ? undefined : replica;
};
