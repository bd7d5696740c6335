/**
 * Whether a replica of a fed shard has room for one more attempt of this feeder.
 *
 * Several feeders send to the same replicas, and none knows how many attempts of the others are in progress unless the
 * replicas report it. No slots are reserved for a feeder: which of them needs the slots of a replica changes whenever another
 * replica is slow, paused or lost, or a feeder is suspected. An attempt waits only where the attempts of this feeder alone
 * fill the slots, or a fresh load report shows that all feeders together do.
 */
import { connectionShare } from '../replicas/connection-share.js';
import { freshLoad, type Replica, slotsOf } from '../replicas/replica.js';
import { regionOf } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';

/** Attempts beyond the slots, so that a slot is not idle for the time that the next attempt takes to arrive. */
const NEAR_ALLOWANCE = 1;

/** Attempts of all feeders beyond the slots of a replica, according to its load report. */
const TOTAL_ALLOWANCE = 4;

/**
 * Attempts on their way to a replica and back, beyond those in its slots. To a replica in another region, the way takes about
 * as long as the work.
 */
const allowanceOf = (state: GatewayState, replica: Replica): number =>
  regionOf(state, replica.record.zone) === regionOf(state, state.settings.zone)
    ? NEAR_ALLOWANCE
    : slotsOf(replica);

/**
 * Number of attempts that this gateway may have in progress at a replica of a fed shard: those that keep its slots busy, as far
 * as the connections suffice. Further ones would wait for a connection, in order of arrival.
 */
export const attemptLimit = (state: GatewayState, replica: Replica, at: number): number => {
  const connections = connectionShare(state, replica.record.service, at);
  return Math.min(connections, slotsOf(replica) + allowanceOf(state, replica));
};

/** Whether the attempts of all feeders leave room, according to a fresh load report. */
const isReportedFree = (replica: Replica, at: number): boolean => {
  const load = freshLoad(replica, at);
  return load === undefined || load.running + load.waiting - 1 < slotsOf(replica) + TOTAL_ALLOWANCE;
};

/** Whether one more attempt of this gateway may start at a replica of a fed shard. */
export const hasRoom = (state: GatewayState, replica: Replica, at: number): boolean =>
  replica.pending.size < attemptLimit(state, replica, at) && isReportedFree(replica, at);
