/**
 * Keeps the requests that a cold replica gets from all gateways together within what it bears.
 *
 * The rate is divided without a message: every gateway works out from the listed gateways which of them
 * may send how much. Replicas of a shard that feeders reach belong to the first feeder of each region;
 * others to as many gateways as there are requests a second, drawn for each replica. So the sum holds
 * however many gateways have just started.
 *
 * Invariant: in any second, the sum over all gateways is at most the operators' bound, as long as the
 * gateways hold no more than two views of who is listed.
 */
import { rankByRendezvous } from '../peers/rendezvous.js';
import { feederPlan, isFedShard } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';
import type { Replica } from './replica.js';

/** The rates are counted over any second, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

/** While a change of the listed gateways spreads, some hold the list before it and some the one after. */
const LIST_VIEWS = 2;

/** Requests a second to one cold replica that all gateways of one view may send. */
const combinedRate = (state: GatewayState, ratePerSecond: number): number => {
  const { coldOvershoot = 1, coldSlack = 0 } = state.settings.bounds;
  const boundPerView = (ratePerSecond * coldOvershoot + coldSlack) / LIST_VIEWS;
  return Math.max(1, Math.floor(Math.min(ratePerSecond, boundPerView)));
};

/** The part of `total` for the one at `index` of `count`; the first ones get what is left over. */
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

/** What a process before this one has sent in the last second is not known here. */
const mayFollowPreviousProcess = ({ settings, startedAt }: GatewayState, at: number): boolean =>
  !settings.firstStart && at - startedAt < RATE_WINDOW_MS;

const coldRateOf = (state: GatewayState, { record, coldUntil }: Replica, at: number) =>
  coldUntil > at
    ? state.inForce?.configuration.services.get(record.service)?.coldRequestsPerSecond
    : undefined;

/** Whether a replica may get one more request from this gateway now; one that is warm always may. */
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

/** Notes that a request is sent to a replica. */
export const recordColdSend = (state: GatewayState, replica: Replica, at: number): void => {
  if (coldRateOf(state, replica, at) !== undefined) {
    replica.sentWhileCold = [...replica.sentWhileCold, at];
  }
};
