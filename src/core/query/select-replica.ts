/**
 * Selects the replica of a leg: usually the better of two candidates drawn at random from the available
 * replicas. Replicas that seem unable to answer are skipped, but never a majority of a shard's replicas.
 */
import { isReplicaLeaving } from '../membership/replica-rumours.js';
import type { CoreState } from '../state.js';
import type { LegState } from './active-query.js';
import type { ReplicaTarget } from './query-plan.js';
import {
  SLOW_START_MS,
  predictLatency,
  isUnavailable,
  isBackingOff,
  isProbeDue,
  hasRefusedSnapshot,
} from './replica-observation.js';
import { isUnreachable } from './select-feeder.js';

/** Minimum share of its turns that a replica takes during its slow start. */
const MIN_SLOW_START_SHARE = 0.1;

const wasAttempted = (leg: LegState, target: ReplicaTarget, lastResort: boolean): boolean => {
  for (const record of leg.attempts) {
    if (record.target.endpoint === target.endpoint && !(record.unsent && lastResort)) {
      return true;
    }
  }
  return false;
};

const isLeaving = (state: CoreState, target: ReplicaTarget, at: number): boolean =>
  state.membership.leavingReplicas.size > 0 && isReplicaLeaving(state, target.status.replica, at);

const isEligible = (
  state: CoreState,
  leg: LegState,
  target: ReplicaTarget,
  at: number,
  lastResort = false,
): boolean =>
  !isLeaving(state, target, at) &&
  !(target.observed.refusedSnapshots && hasRefusedSnapshot(target.observed, target.snapshot, at)) &&
  (leg.attempts.length === 0 || !wasAttempted(leg, target, lastResort));

/** Share of its turns that a replica takes, 0 to 1; it grows during slow start, not while warming. */
const slowStartShare = (target: ReplicaTarget, at: number): number => {
  if (target.status.lifecycle === 'warming') {
    return MIN_SLOW_START_SHARE;
  }
  return Math.max(
    MIN_SLOW_START_SHARE,
    Math.min(1, (at - target.observed.slowStartFrom) / SLOW_START_MS),
  );
};

const selectRandom = (state: CoreState, leg: LegState, at: number): ReplicaTarget | undefined => {
  const candidates = leg.shard.replicas.filter((target) => isEligible(state, leg, target, at));
  return candidates[state.random.nextBelow(Math.max(1, candidates.length))];
};

/** Cost of a latency: of two replicas, the chance of each is in proportion to the other's cost. */
const selectionCost = (latencyMs: number): number => latencyMs ** 4;

const preferFaster = (
  state: CoreState,
  a: ReplicaTarget,
  b: ReplicaTarget,
  at: number,
): ReplicaTarget => {
  const costA = selectionCost(predictLatency(a.observed, a.status.slots, at));
  const costB = selectionCost(predictLatency(b.observed, b.status.slots, at));
  return state.random.next() * (costA + costB) <= costB ? a : b;
};

/** Chooses one of two candidates at random; prefers an established to a new one, and the faster one. */
const chooseBetween = (
  state: CoreState,
  a: ReplicaTarget,
  b: ReplicaTarget,
  at: number,
): ReplicaTarget => {
  const shareA = slowStartShare(a, at);
  const shareB = slowStartShare(b, at);
  if (shareA !== shareB) {
    const established = shareA < shareB ? b : a;
    const share = Math.min(shareA, shareB) / Math.max(shareA, shareB);
    if (state.random.next() > share) {
      return established;
    }
  }
  return preferFaster(state, a, b, at);
};

/** Returns the replica whose ejection or back-off ends first; used if no replica is available. */
const preferEarlierReturn = (a: ReplicaTarget, b: ReplicaTarget): ReplicaTarget => {
  const endOf = ({ observed }: ReplicaTarget): number =>
    Math.max(observed.ejected ? observed.probeAt : 0, observed.backOffUntil);
  return endOf(a) <= endOf(b) ? a : b;
};

interface Candidates {
  /** Two candidates drawn at random from the available replicas. */
  first: ReplicaTarget | undefined;
  second: ReplicaTarget | undefined;
  available: number;
  /** Number of reachable replicas that seem unable to answer. */
  out: number;
  /** The replica to use if none is available. */
  fallback: ReplicaTarget | undefined;
}

/** Draws two candidates in one pass; every pair is equally likely. */
const drawCandidates = (state: CoreState, leg: LegState, at: number): Candidates => {
  const drawn: Candidates = {
    first: undefined,
    second: undefined,
    available: 0,
    out: 0,
    fallback: undefined,
  };
  for (const target of leg.shard.replicas) {
    if (!isEligible(state, leg, target, at)) {
      continue;
    }
    const unreachable = isUnreachable(state, target, at);
    const out = isUnavailable(target.observed, at);
    if (unreachable || out || isBackingOff(target.observed, at)) {
      drawn.out += Number(out && !unreachable);
      drawn.fallback =
        drawn.fallback === undefined ? target : preferEarlierReturn(drawn.fallback, target);
      continue;
    }
    drawn.available += 1;
    const place = state.random.nextBelow(drawn.available);
    if (place === 0) {
      drawn.second = drawn.first;
      drawn.first = target;
    } else if (place === 1) {
      drawn.second = target;
    }
  }
  return drawn;
};

const selectObserved = (state: CoreState, leg: LegState, at: number): ReplicaTarget | undefined => {
  const { first, second, fallback, out } = drawCandidates(state, leg, at);
  if (first === undefined) {
    return fallback;
  }
  const mostUnavailable = out * 2 > leg.shard.replicas.length;
  const other = second ?? (mostUnavailable ? fallback : undefined);
  return other === undefined ? first : chooseBetween(state, first, other, at);
};

/** Selects a replica to which this leg has not been sent; undefined if there is none. */
export const selectReplica = (
  state: CoreState,
  leg: LegState,
  at: number,
): ReplicaTarget | undefined =>
  state.query.policy.replicaChoice === 'random'
    ? selectRandom(state, leg, at)
    : selectObserved(state, leg, at);

/** Whether an available replica is left for the leg: not ejected, silent, backing off or unreachable. */
export const hasAvailableReplica = (state: CoreState, leg: LegState, at: number): boolean =>
  leg.shard.replicas.some(
    (target) =>
      isEligible(state, leg, target, at) &&
      !isUnavailable(target.observed, at) &&
      !isBackingOff(target.observed, at) &&
      !isUnreachable(state, target, at),
  );

/** Selects an available replica for a hedge; `fixed` hedging accepts any selected replica. */
export const selectHedgeReplica = (
  state: CoreState,
  leg: LegState,
  at: number,
): ReplicaTarget | undefined => {
  const target = selectReplica(state, leg, at);
  const usable =
    state.query.policy.hedging === 'fixed' ||
    (target &&
      !isUnavailable(target.observed, at) &&
      !isBackingOff(target.observed, at) &&
      !isUnreachable(state, target, at));
  return usable ? target : undefined;
};

/** Selects a replica to which a feeder did not send an earlier attempt; used if no other is left. */
export const selectLastResort = (
  state: CoreState,
  leg: LegState,
  at: number,
): ReplicaTarget | undefined =>
  leg.shard.replicas.find((target) => isEligible(state, leg, target, at, true));

/** Selects an ejected replica of the leg's shard that is due for a probe. */
export const selectProbeReplica = (
  state: CoreState,
  leg: LegState,
  at: number,
): ReplicaTarget | undefined =>
  leg.shard.replicas.find(
    (target) => isProbeDue(target.observed, at) && isEligible(state, leg, target, at),
  );
