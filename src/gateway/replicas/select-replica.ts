/** Chooses the replica that is expected to answer first, at the least cost. */
import type { Random } from '../../core/random.js';
import { type Replica, currentSlowdown } from './replica.js';

/** Added to the cost of a replica in another zone of the same region, in usual latencies. */
const OTHER_ZONE_COST = 0.35;

/** Added to the cost of a replica in another region. */
const OTHER_REGION_COST = 1;

/** A replica is as much slower while it is cold. */
const COLD_FACTOR = 1.6;

/** Part of the load below the number of slots that counts: some replicas slow down when near full. */
const PARTIAL_LOAD_COST = 0.25;

/** How long a load report counts, in milliseconds. */
const LOAD_REPORT_AGE_MS = 150;

/** An attempt that has run for so many usual latencies speaks against its replica. */
const STALL_RATIO = 2.5;

/** Added for a replica that failed lately; for one that leaves; for one that the store lost. */
const EJECTED_COST = 200;
const LEAVING_COST = 1_000;

/** Added for a replica that the request should not go to while others answer. */
const NOT_PREFERRED_COST = 100;

/** Costs that differ by less are taken as equal, and one is drawn. */
const TIE_BREAK_WIDTH = 0.1;

/** From where the choice is made. */
export interface SelectionContext {
  readonly zone: string;
  readonly zoneRegions: Readonly<Record<string, string>>;
  /** A replica that leaves may be sent work for so long, in milliseconds. */
  readonly leavingMs: number;
  /** Connections that this gateway may hold to one replica; attempts beyond wait for one. */
  readonly maxConnections: number;
  /** Replicas that the request should keep to; undefined where all will do. */
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

const loadCost = (replica: Replica, maxConnections: number, at: number): number => {
  const { load, pending, record } = replica;
  const slots = Math.max(1, load?.slots ?? record.slots);
  const isFresh = load !== undefined && at - replica.loadAt < LOAD_REPORT_AGE_MS;
  const others = isFresh ? Math.max(0, load.running + load.waiting - 1) : 0;
  const busy = Math.max(pending.size, others);
  const waiting = Math.max(0, busy + 1 - slots);
  const waitingHere = Math.max(0, pending.size + 1 - maxConnections);
  const partial = (PARTIAL_LOAD_COST * Math.min(busy, slots)) / slots;
  return partial + Math.max(waiting / slots, waitingHere / maxConnections);
};

/** How long one more attempt at a replica is expected to take, in usual latencies. */
export const expectedRatio = (replica: Replica, maxConnections: number, at: number): number => {
  const cold = replica.coldUntil > at ? COLD_FACTOR : 1;
  return currentSlowdown(replica, at) * cold * (1 + loadCost(replica, maxConnections, at));
};

/** The cost of one more attempt at a replica, in usual latencies. */
const costOf = (replica: Replica, context: SelectionContext, at: number): number => {
  const base = expectedRatio(replica, context.maxConnections, at);
  const ejected = replica.ejectedUntil > at ? EJECTED_COST : 0;
  const isLeaving = replica.record.draining || replica.goneAt !== undefined;
  const leaving = isLeaving ? LEAVING_COST : 0;
  const isPreferred = context.preferred?.has(replica.record.id) ?? true;
  const excluded = ejected + leaving + (isPreferred ? 0 : NOT_PREFERRED_COST);
  return base + stallCost(replica, at) + distanceCost(replica, context) + excluded;
};

/**
 * The replica to send the next attempt to; undefined when none is left.
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
