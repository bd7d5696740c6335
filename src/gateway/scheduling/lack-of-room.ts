/** Finds gathers that cannot reach their minimum coverage in time, by the waits that feeders report. */
import type { Decision } from '../log/log-event.js';
import { type GatherTarget, minShards } from '../model/route.js';
import type { ActiveRequest, Leg } from '../requests/request-state.js';
import { latencyOf } from '../requests/route-latency.js';
import { feederOf } from '../requests/send-legs.js';
import type { GatewayState } from '../state.js';
import { removeOldWaits, reportedWait } from './feeder-waits.js';
import type { ClassRank } from './class-rank.js';

/**
 * One of this many gathers that lack room is sent all the same. It renews the reported waits, and the attempts of its class
 * stay among those to which feeders grant their least share.
 */
const SENT_INTERVAL = 4;

/**
 * A gather is also refused for this time after a more urgent one was refused that needs the same replicas, in milliseconds.
 * A class with a longer deadline would otherwise be served while a more urgent one is refused. A gather that was left less time
 * than its objective by its caller does not count: even a short wait is too long for it.
 */
const URGENT_REFUSAL_MS = 250;

/** The room for a gather, by the waits that feeders report. */
interface RoomForGather {
  /** Number of shards with a wait beyond the deadline, and of shards that may be missing. */
  readonly shards: number;
  readonly maxMissing: number;
  /** The wait at the shard that decides, and the time that a replica has until the deadline, in milliseconds. */
  readonly waitMs: number;
  readonly leftMs: number;
}

const waitOf = (state: GatewayState, request: ActiveRequest, leg: Leg, at: number): number => {
  const { feederWaits, queues } = state.scheduling;
  const feeder = feederOf(state, request, leg, at);
  return feeder === undefined
    ? (queues.get(leg.service)?.expectedWait(request.rank, at) ?? 0)
    : reportedWait(feederWaits.get(feeder.name), leg.service, request.rank, at);
};

/** Whether no feeder, including this gateway, has reported a wait in the last second. */
const isRoomy = ({ scheduling }: GatewayState, at: number): boolean => {
  const { waiting, feederWaits } = scheduling;
  if (feederWaits.size > 0) {
    removeOldWaits(feederWaits, at);
  }
  return waiting === 0 && feederWaits.size === 0;
};

/** The expected wait for the number of shards that a gather needs, in milliseconds, and its inputs. */
const measureRoom = (
  state: GatewayState,
  request: ActiveRequest,
  target: GatherTarget,
  at: number,
): RoomForGather => {
  const waits = request.legs.map((leg) => waitOf(state, request, leg, at));
  waits.sort((left, right) => right - left);
  const leftMs = request.deadlineAt - at - latencyOf(state, request).median;
  const maxMissing = request.legs.length - minShards(target);
  const shards = waits.filter((waitMs) => waitMs > Math.max(0, leftMs)).length;
  return { shards, maxMissing, waitMs: waits[maxMissing] ?? 0, leftMs };
};

/** Expected wait until a gather can be served, in milliseconds; 0 while capacity is not scarce. */
export const expectedWaitOf = (state: GatewayState, request: ActiveRequest, at: number): number => {
  const { target } = request.route;
  return target.type !== 'gather' || isRoomy(state, at)
    ? 0
    : measureRoom(state, request, target, at).waitMs;
};

const wasUrgentRefused = (
  { scheduling }: GatewayState,
  { rank, legs }: ActiveRequest,
  at: number,
): boolean =>
  [...scheduling.refusals].some(
    ([refused, { at: refusedAt, shards }]) =>
      refused < rank &&
      at - refusedAt < URGENT_REFUSAL_MS &&
      legs[0] !== undefined &&
      shards.includes(legs[0].service),
  );

const countLack = (state: GatewayState, rank: ClassRank): boolean => {
  const { lacks } = state.scheduling;
  const count = (lacks.get(rank) ?? 0) + 1;
  lacks.set(rank, count);
  return count % SENT_INTERVAL === 0;
};

/** Why a gather lacks room, and whether it is sent all the same. */
export type LackOfRoom = RoomForGather & { readonly isSent: boolean };

/** The decision about a gather that lacks room, for its trace. */
export const describeLack = ({ rank }: ActiveRequest, lack: LackOfRoom): Decision => ({
  event: 'room-lacking',
  rank,
  shards: lack.shards,
  maxMissing: lack.maxMissing,
  waitMs: Math.round(lack.waitMs),
  leftMs: Math.round(lack.leftMs),
  isSent: lack.isSent,
});

/** The lack of room for which a gather that has not been sent is refused or, rarely, sent all the same; undefined if none. */
export const findLackOfRoom = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): LackOfRoom | undefined => {
  const { target } = request.route;
  if (target.type !== 'gather' || isRoomy(state, at)) {
    return undefined;
  }
  const room = measureRoom(state, request, target, at);
  const isLacking = room.shards > room.maxMissing;
  if (!isLacking && !wasUrgentRefused(state, request, at)) {
    return undefined;
  }
  const isSent = countLack(state, request.rank);
  if (isLacking && !isSent && room.leftMs >= request.route.objectiveMs) {
    state.scheduling.refusals.set(request.rank, { at, shards: target.shards });
  }
  return { ...room, isSent };
};
