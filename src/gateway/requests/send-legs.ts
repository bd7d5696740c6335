/**
 * Sends the legs of a request: to replicas, or by subqueries to the feeders of their shards. A gather
 * over many shards is too much work for one small machine in the time that it has; feeders share it,
 * and their connections to replicas are warm.
 */
import type { GatewayEffect } from '../effect.js';
import { trace } from '../log/trace.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { GatherTarget, Route } from '../model/route.js';
import type { Subquery } from '../model/subquery.js';
import { overdueAfterMs } from '../delay-estimate.js';
import { feederPlan, isFed } from '../peers/service-share.js';
import { budgetOf, type GatewayState } from '../state.js';
import { claimProbe } from './claim-probe.js';
import { guardOf, holdLeg, mayGoOn } from './guard.js';
import type { ActiveRequest, ActiveSubquery, Leg } from './request-state.js';
import { retryLeg } from './retry-leg.js';

/**
 * Time within which a feeder says that it has a subquery: a part of the objective, at least so long, and
 * longer where feeders usually take longer.
 */
const ACKNOWLEDGE_SHARE = 0.3;
const LEAST_ACKNOWLEDGE_MS = 30;

/** Time kept back of the objective for the way of parts from a feeder, in milliseconds. */
const PARTS_MARGIN_MS = 8;

/** Time kept back of the deadline for the same, in milliseconds. */
const DEADLINE_MARGIN_MS = 15;

/** Legs that go to one feeder. */
interface FeederGroup {
  readonly peer: PeerRecord;
  readonly legs: Leg[];
}

/** The feeder for a leg; undefined when this gateway speaks to the replicas itself. */
const feederOf = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  at: number,
): PeerRecord | undefined => {
  const isPart = request.origin === 'caller' && request.route.target.type === 'gather';
  if (!isPart || !isFed(state, leg.service)) {
    return undefined;
  }
  const feeder = feederPlan(state)
    .feedersOf(leg.service)
    .find(({ name }) => !request.failedFeeders.has(name) && !state.peers.isSuspect(name, at));
  return feeder?.name === state.settings.node ? undefined : feeder;
};

/** Sends a leg to a replica; one that another feeder may have sent before counts as an extra. */
const sendDirect = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  isRepeat: boolean,
  at: number,
): GatewayEffect[] => {
  if (isRepeat) {
    leg.isRepeat = true;
    leg.arrivals += 1;
    leg.runs += 1;
  } else {
    budgetOf(state, leg.service).countRequest(at);
  }
  return retryLeg(state, request, leg, isRepeat ? 'retry' : 'first', at);
};

const acknowledgeWithin = ({ feederDelay }: GatewayState, { objectiveMs }: Route): number =>
  Math.max(LEAST_ACKNOWLEDGE_MS, objectiveMs * ACKNOWLEDGE_SHARE, overdueAfterMs(feederDelay));

const createSubquery = (
  { route, objectiveAt, deadlineAt, isTrial }: ActiveRequest,
  { maxRecords }: GatherTarget,
  legs: readonly Leg[],
  isRepeat: boolean,
  at: number,
): Subquery => ({
  route: route.name,
  shards: legs.map(({ service }) => service),
  maxRecords,
  maxAttempts: route.maxAttempts,
  objectiveMs: route.objectiveMs,
  partsWithinMs: Math.max(1, objectiveAt - at - PARTS_MARGIN_MS),
  deadlineMs: Math.max(1, deadlineAt - at - DEADLINE_MARGIN_MS),
  isRepeat,
  ...(route.allowedRegions !== undefined && { allowedRegions: route.allowedRegions }),
  ...(isTrial && { isTrial }),
});

const sendSubquery = (
  state: GatewayState,
  request: ActiveRequest,
  { peer, legs }: FeederGroup,
  isRepeat: boolean,
  at: number,
): GatewayEffect[] => {
  const { target } = request.route;
  if (target.type !== 'gather') {
    return [];
  }
  const id = state.nextSubquery;
  state.nextSubquery += 1;
  const active: ActiveSubquery = {
    id,
    peer: peer.name,
    legs,
    isRepeat,
    sentAt: at,
    acknowledgeBy: at + acknowledgeWithin(state, request.route),
    isOverdue: false,
    isProbe: guardOf(state, request, at) !== 'free',
  };
  request.subqueries.set(id, active);
  state.subqueries.set(id, request.call);
  legs.forEach((leg) => {
    leg.subquery = id;
  });
  const shards = legs.length;
  state.counters.subqueries.add('sent');
  trace(request.decisions, at, {
    event: 'subquery-sent',
    subquery: id,
    peer: peer.name,
    shards,
    isRepeat,
  });
  const subquery = createSubquery(request, target, legs, isRepeat, at);
  const claimed = claimProbe(state, request, at);
  return [...claimed, { type: 'send-subquery', id, call: request.call, peer, subquery }];
};

/** Whether legs must wait because replicas may have ended under the request; one alone need not while it may go on. */
const mustHold = (
  state: GatewayState,
  request: ActiveRequest,
  legs: readonly Leg[],
  at: number,
): boolean => {
  const guard = guardOf(state, request, at);
  const isOneMore = legs.length === 1 && mayGoOn(state, request, at);
  return guard === 'stopped' || (guard === 'one-at-a-time' && !isOneMore);
};

/**
 * Sends legs that have no open attempt. Where replicas may have ended under the request they are held.
 *
 * @param isRepeat - replicas may have run them before, for a feeder that has failed
 */
export const sendLegs = (
  state: GatewayState,
  request: ActiveRequest,
  legs: readonly Leg[],
  isRepeat: boolean,
  at: number,
): GatewayEffect[] => {
  if (mustHold(state, request, legs, at)) {
    legs.forEach((leg) => {
      leg.isRepeat ||= isRepeat;
      holdLeg(request, leg, at);
    });
    return [];
  }
  const groups = new Map<string, FeederGroup>();
  const effects: GatewayEffect[] = [];
  for (const leg of legs) {
    const peer = feederOf(state, request, leg, at);
    if (peer === undefined) {
      effects.push(...sendDirect(state, request, leg, isRepeat, at));
      continue;
    }
    const group = groups.get(peer.name) ?? { peer, legs: [] };
    group.legs.push(leg);
    groups.set(peer.name, group);
  }
  for (const group of groups.values()) {
    effects.push(...sendSubquery(state, request, group, isRepeat, at));
  }
  return effects;
};
