/** Moves legs to other feeders when a feeder fails or does not acknowledge a subquery in time. */
import type { GatewayEffect } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import { recordDecision } from '../log/trace.js';
import type { PeerProblem } from '../model/subquery.js';
import { recordDelay, overdueAfterMs } from '../delay-estimate.js';
import type { GatewayState } from '../state.js';
import { type ActiveRequest, type ActiveSubquery, openLegsOf } from './request-state.js';
import { sendLegs } from './send-legs.js';

/**
 * Delay before an overdue feeder is checked again, in milliseconds. The messages that queued up while this process was
 * busy are read in the meantime.
 */
const RECHECK_DELAY_MS = 5;

/** A check that runs later than this, in milliseconds, shows that this process is busy, not the feeder. */
const LATE_CHECK_MS = 4;

/**
 * Share of the objective after which overdue feeders time out even when most feeders are silent: the answer is late by
 * then, and other feeders may still deliver one. With 0.55, feeders that were merely busy right after all machines
 * had come back timed out, all their work was requested again, and requests failed because the retry budget was exhausted.
 */
const MOSTLY_SILENT_WAIT_SHARE = 1;

/**
 * Whether overdue feeders of the request may time out: at least as many have responded as are silent, or enough time has
 * passed. When most are silent the delay is here, in the network or at all feeders, and repeating their work elsewhere
 * would add to it.
 */
const mayTimeOutFeeders = (state: GatewayState, request: ActiveRequest, at: number): boolean => {
  const silent = [...request.subqueries.values()].filter(
    ({ acknowledgeBy }) => acknowledgeBy !== undefined,
  ).length;
  const { receivedAt, route, acknowledgedSubqueries } = request;
  const waitMs = Math.max(
    route.objectiveMs * MOSTLY_SILENT_WAIT_SHARE,
    overdueAfterMs(state.feederDelay),
  );
  return acknowledgedSubqueries >= silent || at >= receivedAt + waitMs;
};

/** Suspects a peer, so that it gets no subqueries until it promptly confirms that it serves. */
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
  const change: StateChange = { event: 'peer-suspected', peer, problem };
  const log: GatewayEffect = { type: 'write-log', level: 'warn', part: 'peer', change };
  return wasSuspect ? check : [log, ...check];
};

/** Cancels a subquery and sends its open legs elsewhere, as repeats if this feeder or an earlier one may have run them. */
export const moveLegs = (
  state: GatewayState,
  request: ActiveRequest,
  subquery: ActiveSubquery,
  mayHaveRun: boolean,
  at: number,
): GatewayEffect[] => {
  const { id, peer, sentAt, isRepeat } = subquery;
  request.subqueries.delete(id);
  state.subqueries.delete(id);
  request.failedFeeders.add(peer);
  const open = openLegsOf(subquery);
  open.forEach((leg) => {
    leg.subquery = undefined;
  });
  state.counters.subqueries.add('moved');
  const elapsedMs = Math.round(at - sentAt);
  recordDecision(request.decisions, at, {
    event: 'subquery-failed',
    subquery: id,
    peer,
    mayHaveRun,
    elapsedMs,
  });
  return [
    { type: 'cancel-subquery', id, withinMs: 0 },
    ...sendLegs(state, request, open, mayHaveRun || isRepeat, at),
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
  const isCheckLate = at - acknowledgeBy > LATE_CHECK_MS;
  if (!subquery.isOverdue || isCheckLate || !mayTimeOutFeeders(state, request, at)) {
    subquery.isOverdue = true;
    subquery.acknowledgeBy = at + RECHECK_DELAY_MS;
    return [];
  }
  recordDelay(state.feederDelay, at - subquery.sentAt);
  return [
    ...suspectPeer(state, subquery.peer, 'unacknowledged', at),
    ...moveLegs(state, request, subquery, true, at),
  ];
};

/** Checks the feeders of a request and moves the legs of those that are overdue. */
export const checkSubqueries = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): GatewayEffect[] =>
  [...request.subqueries.values()].flatMap((subquery) =>
    checkSubquery(state, request, subquery, at),
  );
