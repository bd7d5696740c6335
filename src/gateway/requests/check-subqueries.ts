/** Moves legs to other feeders when a feeder fails, or does not say in time what is expected of it. */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import { trace } from '../log/trace.js';
import type { PeerProblem } from '../model/subquery.js';
import { recordDelay, overdueAfterMs } from '../delay-estimate.js';
import type { GatewayState } from '../state.js';
import { type ActiveRequest, type ActiveSubquery, openLegsOf } from './request-state.js';
import { sendLegs } from './send-legs.js';

/** What has arrived while this process was busy is read before a feeder is judged, in milliseconds. */
const SECOND_LOOK_MS = 5;

/** A look that comes so late says that this process is busy, not that the feeder is, in milliseconds. */
const LATE_LOOK_MS = 4;

/**
 * Feeders are judged even when most of them are silent once this part of the objective has passed: the
 * answer is late by then, and others may still make it one. Earlier, right after a return of all machines,
 * feeders that were merely busy were given up at 0.55 of the objective, all their work was asked for again,
 * and requests ended without an answer because the retry budget was spent.
 */
const JUDGE_ALL_SHARE = 1;

/**
 * A feeder is judged only once at least as many feeders of the request have said something as have not:
 * when most are silent, the time is lost here, in the network or at all of them, and asking others for the
 * same would only add to it.
 */
const mayJudge = (state: GatewayState, request: ActiveRequest, at: number): boolean => {
  const silent = [...request.subqueries.values()].filter(
    ({ acknowledgeBy }) => acknowledgeBy !== undefined,
  ).length;
  const { receivedAt, route, heardSubqueries } = request;
  const patience = Math.max(route.objectiveMs * JUDGE_ALL_SHARE, overdueAfterMs(state.feederDelay));
  return heardSubqueries >= silent || at >= receivedAt + patience;
};

/** Passes a peer over until it says promptly that it serves. */
export const suspectPeer = (
  state: GatewayState,
  peer: string,
  problem: PeerProblem,
  at: number,
): GatewayEffect[] => {
  const wasSuspect = state.peers.isSuspect(peer, at);
  state.peers.suspect(peer, at);
  const record = state.peers.find(peer);
  const check: GatewayEffect[] = record === undefined ? [] : [{ type: 'check-peer', peer: record }];
  const change: BeliefChange = { event: 'peer-suspected', peer, problem };
  const log: GatewayEffect = { type: 'write-log', level: 'warn', part: 'peer', change };
  return wasSuspect ? check : [log, ...check];
};

/** Takes the open legs of a subquery away from its feeder and sends them elsewhere. */
export const moveLegs = (
  state: GatewayState,
  request: ActiveRequest,
  subquery: ActiveSubquery,
  mayHaveRun: boolean,
  at: number,
): GatewayEffect[] => {
  const { id, peer, sentAt } = subquery;
  request.subqueries.delete(id);
  state.subqueries.delete(id);
  request.failedFeeders.add(peer);
  const open = openLegsOf(subquery);
  open.forEach((leg) => {
    leg.subquery = undefined;
  });
  state.counters.subqueries.add('moved');
  const elapsedMs = Math.round(at - sentAt);
  trace(request.decisions, at, {
    event: 'subquery-failed',
    subquery: id,
    peer,
    mayHaveRun,
    elapsedMs,
  });
  return [
    { type: 'cancel-subquery', id, withinMs: 0 },
    ...sendLegs(state, request, open, mayHaveRun, at),
  ];
};

const checkSubquery = (
  state: GatewayState,
  request: ActiveRequest,
  subquery: ActiveSubquery,
  at: number,
): GatewayEffect[] => {
  const { acknowledgeBy } = subquery;
  if (acknowledgeBy === undefined || at < acknowledgeBy) {
    return [];
  }
  const isBusyHere = at - acknowledgeBy > LATE_LOOK_MS;
  if (!subquery.isOverdue || isBusyHere || !mayJudge(state, request, at)) {
    subquery.isOverdue = true;
    subquery.acknowledgeBy = at + SECOND_LOOK_MS;
    return [];
  }
  recordDelay(state.feederDelay, at - subquery.sentAt);
  return [
    ...suspectPeer(state, subquery.peer, 'unacknowledged', at),
    ...moveLegs(state, request, subquery, true, at),
  ];
};

/** Looks whether a feeder of the request is overdue. */
export const checkSubqueries = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] =>
  [...request.subqueries.values()].flatMap((subquery) =>
    checkSubquery(state, request, subquery, at),
  );
