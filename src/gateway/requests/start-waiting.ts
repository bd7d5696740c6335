/** Starts waiting attempts when there is room for them, and drops those that can no longer be answered. */
import type { GatewayEffect } from '../effect.js';
import { recordDecision } from '../log/trace.js';
import { type ClassRank, classLabel } from '../scheduling/class-rank.js';
import { hasRoom } from '../scheduling/replica-room.js';
import { replicasInUse } from '../scheduling/shard-room.js';
import type { WaitingQueue } from '../scheduling/waiting-queue.js';
import type { WaitingAttempt } from './request-state.js';
import type { GatewayState } from '../state.js';
import { progressRequest } from './progress.js';
import { attemptLeg, endLeg, recordLegPauses } from './retry-leg.js';

/**
 * Interval of the checks of all queues while attempts wait, in milliseconds: load reports become old, ejections end and
 * replicas are listed without an event for the queue.
 */
const CHECK_INTERVAL_MS = 10;

/**
 * Number of attempts of a class passed over in one check, because they may not use the replicas that have room. It bounds the
 * time of the check. The limit applies to each class, so that one does not keep the others from replicas that it may not use.
 */
const MAX_PASSED = 16;

/** The same for all classes together. */
const MAX_PASSED_IN_TOTAL = 64;

const MS_PER_SECOND = 1_000;

const observeWait = (
  { counters }: GatewayState,
  { request, since }: WaitingAttempt,
  at: number,
): void => {
  counters.attemptWait.observe((at - since) / MS_PER_SECOND, classLabel(request.rank));
};

/** Ends the leg of an attempt that can no longer be answered in time; the leg is sent to no other feeder. */
const dropWaiting = (state: GatewayState, waiting: WaitingAttempt, at: number): GatewayEffect[] => {
  const { request, leg, since, usualMs, deadlineAt } = waiting;
  if (leg.waiting !== waiting) {
    return [];
  }
  leg.waiting = undefined;
  leg.isDropped = true;
  state.scheduling.waiting -= 1;
  state.counters.droppedAttempts.add(classLabel(request.rank));
  observeWait(state, waiting, at);
  recordDecision(request.decisions, at, {
    event: 'attempt-dropped',
    service: leg.service,
    rank: request.rank,
    waitedMs: Math.round(at - since),
    leftMs: Math.round(deadlineAt - at),
    usualMs: Math.round(usualMs),
  });
  endLeg(request, leg, { type: 'unanswered' });
  recordLegPauses(state, leg);
  return progressRequest(state, request, at);
};

/** Starts an attempt that was taken from its queue; undefined if there is no room that it may use. */
const startAttempt = (
  state: GatewayState,
  queue: WaitingQueue,
  waiting: WaitingAttempt,
  at: number,
): GatewayEffect[] | undefined => {
  const { request, leg, reason } = waiting;
  const started = attemptLeg(state, request, leg, reason, at);
  if (started === 'no-room') {
    return undefined;
  }
  leg.waiting = undefined;
  state.scheduling.waiting -= 1;
  if (leg.running.size > 0) {
    queue.recordStart(waiting, at);
    observeWait(state, waiting, at);
    return started;
  }
  return [...started, ...progressRequest(state, request, at)];
};

/** Whether an attempt may start at a replica of the shard, or the shard has no replica and its attempts cannot start. */
const mayStart = (state: GatewayState, service: string, at: number): boolean => {
  const replicas = replicasInUse(state, service, at);
  return replicas.length === 0 || replicas.some((replica) => hasRoom(state, replica, at));
};

/** The attempts that one check has passed over. */
class PassedAttempts {
  readonly attempts: WaitingAttempt[] = [];
  /** Classes with a first attempt among them, and those of which no more are considered. */
  readonly withFirst = new Set<ClassRank>();
  readonly exhausted = new Set<ClassRank>();
  private readonly counts = new Map<ClassRank, number>();

  add(waiting: WaitingAttempt): void {
    const { rank } = waiting.request;
    const count = (this.counts.get(rank) ?? 0) + 1;
    this.counts.set(rank, count);
    this.attempts.push(waiting);
    if (waiting.reason === 'first') {
      this.withFirst.add(rank);
    }
    if (count >= MAX_PASSED) {
      this.exhausted.add(rank);
    }
  }
}

/** Starts the waiting attempts of a shard in their order for as long as there is room. */
const startInOrder = (
  state: GatewayState,
  service: string,
  queue: WaitingQueue,
  at: number,
): GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  const passed = new PassedAttempts();
  while (passed.attempts.length < MAX_PASSED_IN_TOTAL && mayStart(state, service, at)) {
    const waiting = queue.take(passed.withFirst, at, passed.exhausted);
    if (waiting === undefined) {
      break;
    }
    const started = startAttempt(state, queue, waiting, at);
    if (started === undefined) {
      passed.add(waiting);
    } else {
      effects.push(...started);
    }
  }
  passed.attempts
    .filter((waiting) => waiting.leg.waiting === waiting)
    .forEach((waiting) => {
      queue.putBack(waiting);
    });
  return effects;
};

const checkShard = (state: GatewayState, service: string, at: number): GatewayEffect[] => {
  const queue = state.scheduling.queues.get(service);
  if (queue === undefined || queue.size === 0) {
    return [];
  }
  const dropped = queue.takeHopeless(at).flatMap((waiting) => dropWaiting(state, waiting, at));
  // What is known of the replicas may be out of date after a process pause.
  return state.pauseRecovery === undefined
    ? [...dropped, ...startInOrder(state, service, queue, at)]
    : dropped;
};

const setTimer = ({ scheduling }: GatewayState, at: number): GatewayEffect[] => {
  if (scheduling.waiting === 0 || scheduling.isTimerSet) {
    return [];
  }
  scheduling.isTimerSet = true;
  return [{ type: 'set-scheduling-timer', at: at + CHECK_INTERVAL_MS }];
};

/** Checks the shards whose room may have changed in this step. */
export const startWaiting = (state: GatewayState, at: number): GatewayEffect[] => {
  const { changed } = state.scheduling;
  if (changed.size === 0) {
    return [];
  }
  const services = [...changed];
  changed.clear();
  const started = services.flatMap((service) => checkShard(state, service, at));
  return [...started, ...setTimer(state, at)];
};

/** Handles `scheduling-due`: all shards with waiting attempts are checked at the end of the step. */
export const handleSchedulingDue = ({ scheduling }: GatewayState): GatewayEffect[] => {
  scheduling.isTimerSet = false;
  for (const [service, { size }] of scheduling.queues) {
    if (size > 0) {
      scheduling.changed.add(service);
    }
  }
  return [];
};
