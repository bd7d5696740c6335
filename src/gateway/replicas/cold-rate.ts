/**
 * Limits the rate of requests that a cold replica receives from all gateways together.
 *
 * The gateways divide the rate without messages: each computes every gateway's share from the listed gateways. For a
 * replica of a shard that is reached through feeders, the first feeder of each region shares the rate; for other replicas,
 * as many gateways as there are requests a second, selected per replica by rendezvous hashing. So the sum is bounded however
 * many gateways have just started.
 *
 * Invariant: in any second, the sum over all gateways is at most the operators' bound, as long as the gateways hold at most
 * two different lists of gateways.
 */
import { rankByRendezvous } from '../peers/rendezvous.js';
import { feederPlan, isFedShard } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';
import type { Replica } from './replica.js';

/** Sliding window over which rates are counted, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

/** Number of gateway lists in use while a change propagates: some gateways have the old list and some the new one. */
const LIST_VIEWS = 2;

/** Requests a second that all gateways with the same list may send to one cold replica together. */
const combinedRate = (state: GatewayState, ratePerSecond: number): number => {
  const { coldOvershoot = 1, coldSlack = 0 } = state.settings.bounds;
  const boundPerView = (ratePerSecond * coldOvershoot + coldSlack) / LIST_VIEWS;
  return Math.max(1, Math.floor(Math.min(ratePerSecond, boundPerView)));
};

/** The share of `total` of the member at `index` of `count`; the first members get the remainder. */
const evenShare = (total: number, index: number, count: number): number =>
  Math.floor(total / count) + Number(index < total % count);

const feederRate = (state: GatewayState, service: string, total: number): number => {
  const { node, zone, zoneRegions } = state.settings;
  if (feederPlan(state).rankOf(service, node) !== 0) {
    return 0;
  }
  const regions = [...new Set(Object.values(zoneRegions))].sort();
  return evenShare(total, regions.indexOf(zoneRegions[zone] ?? ''), regions.length);
};

const directRate = ({ peers, settings }: GatewayState, id: string, total: number): number => {
  const ranked = rankByRendezvous(`cold/${id}`, [...peers.all()]);
  const index = ranked.findIndex(({ name }) => name === settings.node);
  return index < 0 ? 0 : evenShare(total, index, ranked.length);
};

/** Requests a second that this gateway may send to a replica while it is cold. */
const ownRate = (state: GatewayState, { record }: Replica, ratePerSecond: number): number => {
  const total = combinedRate(state, ratePerSecond);
  return isFedShard(state, record.service)
    ? feederRate(state, record.service, total)
    : directRate(state, record.id, total);
};

/** Whether a previous process of this gateway may have sent requests within the window, which this process cannot count. */
const mayFollowPreviousProcess = ({ settings, startedAt }: GatewayState, at: number): boolean =>
  !settings.firstStart && at - startedAt < RATE_WINDOW_MS;

const coldRateOf = (state: GatewayState, { record, coldUntil }: Replica, at: number) =>
  coldUntil > at
    ? state.inForce?.configuration.services.get(record.service)?.coldRequestsPerSecond
    : undefined;

/** Whether this gateway may send one more request to a replica now; always true for a warm replica. */
export const hasColdRateLeft = (state: GatewayState, replica: Replica, at: number): boolean => {
  const ratePerSecond = coldRateOf(state, replica, at);
  if (ratePerSecond === undefined) {
    return true;
  }
  if (mayFollowPreviousProcess(state, at)) {
    return false;
  }
  const recentSends = replica.sentWhileCold.filter((sentAt) => at - sentAt < RATE_WINDOW_MS);
  replica.sentWhileCold = recentSends;
  return recentSends.length < ownRate(state, replica, ratePerSecond);
};

/** Records a request to a replica, if the replica is cold. */
export const recordColdSend = (state: GatewayState, replica: Replica, at: number): void => {
  if (coldRateOf(state, replica, at) !== undefined) {
    replica.sentWhileCold = [...replica.sentWhileCold, at];
  }
};
