/** Adds attempts to the queue of their shard, and removes them. */
import { recordDecision } from '../log/trace.js';
import type { AttemptReason } from '../log/log-event.js';
import type { GatewayConfiguration } from '../model/route.js';
import { isFedShard } from '../peers/service-share.js';
import type { ActiveRequest, Leg } from '../requests/request-state.js';
import type { GatewayState } from '../state.js';
import { classLabel, type ClassRank, classRank } from './class-rank.js';
import { measureShardRoom, shardSlots } from './shard-room.js';
import { WaitingQueue } from './waiting-queue.js';

/** The ranks that requests may have by a configuration. */
const ranksOf = ({ routes, tenants }: GatewayConfiguration): ReadonlySet<ClassRank> => {
  const keyed = tenants === undefined ? [undefined] : tenants.map(({ priority }) => priority);
  const tenantPriorities = [...new Set(keyed)];
  return new Set(
    routes.flatMap(({ anonymous, priority }) =>
      anonymous === true
        ? [classRank(undefined, priority)]
        : tenantPriorities.map((tenantPriority) => classRank(tenantPriority, priority)),
    ),
  );
};

const haveDifferentClasses = (state: GatewayState): boolean => {
  const { inForce, scheduling } = state;
  if (inForce === undefined) {
    return false;
  }
  if (scheduling.classes?.configuration !== inForce.configuration) {
    const areDifferent = ranksOf(inForce.configuration).size > 1;
    scheduling.classes = { configuration: inForce.configuration, areDifferent };
  }
  return scheduling.classes.areDifferent;
};

/** Whether the attempts of a request at `service` start in the order of classes when there is no room for all of them. */
export const isScheduled = (
  state: GatewayState,
  { route }: ActiveRequest,
  service: string,
): boolean =>
  route.target.type === 'gather' && haveDifferentClasses(state) && isFedShard(state, service);

/** Number of attempts of this class and of more urgent ones that wait at a shard. */
export const waitingUpTo = (
  { scheduling }: GatewayState,
  service: string,
  rank: ClassRank,
): number => (scheduling.waiting === 0 ? 0 : (scheduling.queues.get(service)?.sizeUpTo(rank) ?? 0));

/** Whether attempts wait at a shard, so that further ones have to wait behind them. */
export const hasWaiting = ({ scheduling }: GatewayState, service: string): boolean =>
  scheduling.waiting > 0 && (scheduling.queues.get(service)?.size ?? 0) > 0;

const queueOf = (state: GatewayState, service: string, usualMs: number): WaitingQueue => {
  const { queues } = state.scheduling;
  const known = queues.get(service);
  if (known !== undefined) {
    return known;
  }
  const queue = new WaitingQueue(usualMs / shardSlots(state, service));
  queues.set(service, queue);
  return queue;
};

/**
 * Lets a leg without a running attempt wait until one may start.
 *
 * @param usualMs - usual duration of an attempt, in milliseconds
 */
export const waitForRoom = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  reason: AttemptReason,
  usualMs: number,
  at: number,
): void => {
  const { service } = leg;
  const { rank, deadlineAt } = request;
  const queue = queueOf(state, service, usualMs);
  const room = measureShardRoom(state, service, at);
  recordDecision(request.decisions, at, {
    event: 'attempt-waiting',
    service,
    reason,
    rank,
    ahead: queue.sizeUpTo(rank),
    waiting: queue.size,
    expectedMs: Math.round(queue.expectedWait(rank, at)),
    ...room,
  });
  state.counters.waitingAttempts.add(
    classLabel(rank),
    room.idleSlots > 0 ? 'idle-slots' : 'all-used',
  );
  const waiting = { request, leg, reason, since: at, usualMs, deadlineAt, isQueued: false };
  leg.waiting = waiting;
  queue.add(waiting);
  state.scheduling.waiting += 1;
  state.scheduling.changed.add(service);
};

/** Removes a leg from the queue of its shard; does nothing if it does not wait. */
export const stopWaiting = (state: GatewayState, leg: Leg): void => {
  if (leg.waiting !== undefined) {
    state.scheduling.queues.get(leg.service)?.remove(leg.waiting);
    state.scheduling.waiting -= 1;
    leg.waiting = undefined;
  }
};
