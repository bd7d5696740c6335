/** The use of the replicas of a fed shard, as far as this feeder knows it, for traces and metrics. */
import { freshLoad, type Replica, slotsOf } from '../replicas/replica.js';
import { isExcluded } from '../replicas/select-replica.js';
import type { GatewayState } from '../state.js';
import { attemptLimit } from './replica-room.js';

/** Sums over the usable replicas of a shard. */
export interface ShardRoom {
  readonly replicas: number;
  /** Attempts of this feeder in progress. */
  readonly inProgress: number;
  /** Attempts that this feeder may have in progress. */
  readonly limit: number;
  /** Slots without an attempt of this feeder that a fresh load report does not show as used either. */
  readonly idleSlots: number;
}

/** The replicas at which attempts wait for room: those that are neither ejected nor leaving, or all if there are no others. */
export const replicasInUse = (
  state: GatewayState,
  service: string,
  at: number,
): readonly Replica[] => {
  const replicas = state.replicas.of(service);
  const usable = replicas.filter((replica) => !isExcluded(replica, at));
  return usable.length > 0 ? usable : replicas;
};

const idleSlotsOf = (replica: Replica, at: number): number => {
  const running = freshLoad(replica, at)?.running ?? 0;
  return Math.max(0, slotsOf(replica) - Math.max(replica.pending.size, running));
};

/** Measures the use of the replicas of a shard. */
export const measureShardRoom = (state: GatewayState, service: string, at: number): ShardRoom => {
  const replicas = replicasInUse(state, service, at);
  const sum = (valueOf: (replica: Replica) => number): number =>
    replicas.reduce((total, replica) => total + valueOf(replica), 0);
  return {
    replicas: replicas.length,
    inProgress: sum(({ pending }) => pending.size),
    limit: sum((replica) => attemptLimit(state, replica, at)),
    idleSlots: sum((replica) => idleSlotsOf(replica, at)),
  };
};

/** Number of slots of all replicas of a shard, at least 1. */
export const shardSlots = (state: GatewayState, service: string): number =>
  Math.max(
    1,
    state.replicas.of(service).reduce((sum, replica) => sum + slotsOf(replica), 0),
  );
