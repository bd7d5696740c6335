/**
 * Whether a replica of a fed shard has room for one more attempt of this feeder.
 *
 * The feeders of a shard divide the slots of each replica without messages: the first one that is not suspected may have
 * one attempt more in progress than there are slots, so that a slot is not idle for the time that the next attempt takes to
 * arrive; every other gateway may have one. Four feeders together have at most the slots and an allowance of four in
 * progress. The rest of the replica's own queue, 12 requests, is left to views that differ: a feeder that is suspected by
 * only some gateways and the one that replaces it both count as the first.
 */
import { feederPlan, regionOf } from '../peers/service-share.js';
import { freshLoad, type Replica, slotsOf } from '../replicas/replica.js';
import type { GatewayState } from '../state.js';

/** Attempts in progress beyond the slots, of the first feeder and of all feeders of a shard together. */
const FIRST_ALLOWANCE = 1;
const TOTAL_ALLOWANCE = 4;

/** Attempts in progress at a replica of gateways other than the first feeder. */
const OTHER_SHARE = 1;

/** Whether this gateway is the first feeder of the shard that it does not suspect. */
const isFirstFeeder = (state: GatewayState, service: string, at: number): boolean => {
  const first = feederPlan(state)
    .feedersOf(service)
    .find(({ name }) => !state.peers.isSuspect(name, at));
  return first?.name === state.settings.node;
};

/** Number of attempts that this gateway may have in progress at a replica of a fed shard. */
export const attemptShare = (state: GatewayState, replica: Replica, at: number): number => {
  const { service, zone } = replica.record;
  const isNear = regionOf(state, zone) === regionOf(state, state.settings.zone);
  return isNear && isFirstFeeder(state, service, at)
    ? slotsOf(replica) + FIRST_ALLOWANCE
    : OTHER_SHARE;
};

/** Whether the attempts of all feeders leave room, according to a fresh load report. */
const isReportedFree = (replica: Replica, at: number): boolean => {
  const load = freshLoad(replica, at);
  return load === undefined || load.running + load.waiting - 1 < slotsOf(replica) + TOTAL_ALLOWANCE;
};

/** Whether one more attempt of this gateway may start at a replica of a fed shard. */
export const hasRoom = (state: GatewayState, replica: Replica, at: number): boolean =>
  (replica.pending.size === 0 || replica.pending.size < attemptShare(state, replica, at)) &&
  isReportedFree(replica, at);

/** Number of attempts that this gateway may have in progress at all replicas of a fed shard, at least 1. */
export const shardShare = (state: GatewayState, service: string, at: number): number => {
  const shares = state.replicas.of(service).map((replica) => attemptShare(state, replica, at));
  return Math.max(
    1,
    shares.reduce((sum, share) => sum + share, 0),
  );
};
