/**
 * Sends the legs of a request to replicas, or as subqueries to the feeders of their shards. A gather over many shards is
 * too much work for one small machine within the objective; feeders share the work and keep warm connections to the
 * replicas.
 */
import type { GatewayEffect } from '../effect.js';
import { recordDecision } from '../log/trace.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { GatherTarget, Route } from '../model/route.js';
import type { Subquery } from '../model/subquery.js';
import { overdueAfterMs } from '../delay-estimate.js';
import { feederPlan, isFed } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';
import { claimProbe } from './claim-probe.js';
import { guardOf, holdLeg, maySendNext } from './guard.js';
import { partsMarginMs } from './parts-timing.js';
import type { ActiveRequest, ActiveSubquery, Leg } from './request-state.js';
import { retryLeg } from './retry-leg.js';

/**
 * Time within which a feeder must acknowledge a subquery: this share of the objective, but at least the minimum in
 * milliseconds, and longer when feeders usually take longer.
 */
const ACKNOWLEDGE_SHARE = 0.3;
const MIN_ACKNOWLEDGE_MS = 30;

/** Part of the deadline reserved for the transfer of parts from a feeder, in milliseconds. */
const DEADLINE_MARGIN_MS = 15;

/** Legs that are sent to the same feeder. */
interface FeederGroup {
  readonly peer: PeerRecord;
  readonly legs: Leg[];
}

/** The feeder for a leg; undefined when this gateway sends the leg to a replica itself. */
export const feederOf = (
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

/** Sends a leg to a replica. */
const sendDirect = (
  state: GatewayState,
  request: ActiveRequest,
  leg: Leg,
  isRepeat: boolean,
  at: number,
): GatewayEffect[] => {
  if (isRepeat && leg.arrivals === 0) {
    // Another feeder may have sent the leg before.
    leg.arrivals += 1;
    leg.runs += 1;
  }
  leg.isRepeat ||= isRepeat;
  return retryLeg(state, request, leg, isRepeat ? 'retry' : 'first', at);
};

const acknowledgeTimeoutMs = ({ feederDelay }: GatewayState, { objectiveMs }: Route): number =>
  Math.max(MIN_ACKNOWLEDGE_MS, objectiveMs * ACKNOWLEDGE_SHARE, overdueAfterMs(feederDelay));

const createSubquery = (
  {
    request,
    route,
    objectiveAt,
    deadlineAt,
    isTrial,
    tenant,
    isCallerReplaced,
    rank,
  }: ActiveRequest,
  { maxRecords }: GatherTarget,
  legs: readonly Leg[],
  isRepeat: boolean,
  partsMargin: number,
  at: number,
): Subquery => ({
  route: route.name,
  shards: legs.map(({ service }) => service),
  maxRecords,
  maxAttempts: route.maxAttempts,
  objectiveMs: route.objectiveMs,
  partsWithinMs: Math.max(1, objectiveAt - at - partsMargin),
  deadlineMs: Math.max(1, deadlineAt - at - DEADLINE_MARGIN_MS),
  isRepeat,
  ...(route.allowedRegions !== undefined && { allowedRegions: route.allowedRegions }),
  ...(isTrial && { isTrial }),
  ...(tenant !== undefined && { rank }),
  ...(isCallerReplaced && { fingerprint: request.fingerprint }),
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
    acknowledgeBy: at + acknowledgeTimeoutMs(state, request.route),
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
  recordDecision(request.decisions, at, {
    event: 'subquery-sent',
    subquery: id,
    peer: peer.name,
    shards,
    isRepeat,
  });
  const partsMargin = partsMarginMs(state.feederRoundTrips);
  const subquery = createSubquery(request, target, legs, isRepeat, partsMargin, at);
  const claimed = claimProbe(state, request, at);
  return [...claimed, { type: 'send-subquery', id, call: request.call, peer, subquery }];
};

/**
 * Whether legs must be held because the request may have crashed replicas. A single leg is not held when it may be the next
 * one to be sent.
 */
const mustHold = (
  state: GatewayState,
  request: ActiveRequest,
  legs: readonly Leg[],
  at: number,
): boolean => {
  const guard = guardOf(state, request, at);
  const isNextLeg = legs.length === 1 && maySendNext(state, request, at);
  return guard === 'stopped' || (guard === 'one-at-a-time' && !isNextLeg);
};

/**
 * Sends legs that have no open attempt, or holds them if the request may have crashed replicas.
 *
 * @param isRepeat - replicas may have run the legs before, for a feeder that failed
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
