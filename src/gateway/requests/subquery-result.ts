/** Handles the responses of feeders to subqueries, and changes in the reachability of peers. */
import type { GatewayEffect } from '../effect.js';
import type {
  PeerAlive,
  PeerLost,
  SubqueryAcknowledged,
  SubqueryAnswered,
  SubqueryFailed,
} from '../event.js';
import type { StateChange } from '../log/log-event.js';
import { recordDecision } from '../log/trace.js';
import type { SubqueryId, SubqueryPart } from '../model/subquery.js';
import { recordDelay } from '../delay-estimate.js';
import { recordServedRequest } from '../crashes/update-history.js';
import { recordFeederWaits } from '../scheduling/feeder-waits.js';
import type { GatewayState } from '../state.js';
import { ACKNOWLEDGE_AFTER_MS } from './accept-subquery.js';
import { recordArrived } from './answer-timing.js';
import { progressHeldRequests } from './broken-attempts.js';
import { moveLegs, suspectPeer } from './check-subqueries.js';
import { recordRoundTrip } from './parts-timing.js';
import { progressRequest } from './progress.js';
import { type ActiveRequest, type ActiveSubquery, openLegsOf } from './request-state.js';
import { endLeg } from './retry-leg.js';
import { sendLegs } from './send-legs.js';

interface FoundSubquery {
  readonly request: ActiveRequest;
  readonly subquery: ActiveSubquery;
}

/** Finds a subquery of a request that is still in progress. */
const findSubquery = (state: GatewayState, id: SubqueryId): FoundSubquery | undefined => {
  const call = state.subqueries.get(id);
  const request = call === undefined ? undefined : state.requests.get(call);
  const subquery = request?.subqueries.get(id);
  return request === undefined || subquery === undefined ? undefined : { request, subquery };
};

/** Records the first response of a feeder to a subquery. */
const recordAcknowledged = (state: GatewayState, found: FoundSubquery, at: number): void => {
  const { request, subquery } = found;
  if (subquery.acknowledgeBy !== undefined) {
    subquery.acknowledgeBy = undefined;
    request.acknowledgedSubqueries += 1;
    recordDelay(state.feederDelay, at - subquery.sentAt);
  }
};

/** Handles `subquery-acknowledged`. */
export const handleSubqueryAcknowledged = (
  state: GatewayState,
  { subquery: id, at }: SubqueryAcknowledged,
): GatewayEffect[] => {
  const found = findSubquery(state, id);
  if (found !== undefined) {
    const elapsedMs = at - found.subquery.sentAt;
    recordRoundTrip(state.feederRoundTrips, elapsedMs, ACKNOWLEDGE_AFTER_MS);
    recordAcknowledged(state, found, at);
  }
  return [];
};

const applyParts = (
  request: ActiveRequest,
  { legs }: ActiveSubquery,
  { shards, records }: SubqueryPart,
): void => {
  for (const { service, signature } of shards) {
    const leg = legs.find((each) => each.service === service && each.outcome === undefined);
    if (leg !== undefined) {
      endLeg(request, leg, { type: 'fed', signature });
    }
  }
  if (shards.length > 0) {
    request.isProvenHarmless = true;
    request.fedRecords.push(records);
  }
};

/** Counts a feeder that reports a crash and no part like a crashed replica. */
const recordFeederCrash = (
  request: ActiveRequest,
  { isProbe }: ActiveSubquery,
  { hasCrashed = false, shards }: SubqueryPart,
): void => {
  if (hasCrashed && shards.length === 0) {
    request.crashes += 1;
    request.crashedProbes += Number(isProbe);
  }
};

/** Ends the legs for which the feeder has no part. */
const failMissingLegs = (request: ActiveRequest, subquery: ActiveSubquery, at: number): void => {
  for (const leg of openLegsOf(subquery)) {
    leg.runs += 1;
    recordDecision(request.decisions, at, {
      event: 'leg-failed',
      service: leg.service,
      runs: leg.runs,
    });
    endLeg(request, leg, { type: 'unanswered' });
  }
};

/**
 * Sends the legs that a feeder sent to no replica to the next feeder of their shards. A feeder that lost its connection to
 * the store does not know the replicas of a new index.
 */
const moveUnsent = (
  state: GatewayState,
  request: ActiveRequest,
  subquery: ActiveSubquery,
  unsent: readonly string[],
  at: number,
): GatewayEffect[] => {
  const legs = openLegsOf(subquery).filter(({ service }) => unsent.includes(service));
  if (legs.length === 0) {
    return [];
  }
  const { id, peer, isRepeat } = subquery;
  request.failedFeeders.add(peer);
  legs.forEach((leg) => {
    leg.subquery = undefined;
  });
  state.counters.subqueries.add('moved');
  recordDecision(request.decisions, at, {
    event: 'legs-unsent',
    subquery: id,
    peer,
    shards: legs.length,
  });
  return sendLegs(state, request, legs, isRepeat, at);
};

/** Ends the legs that a feeder dropped while they waited for room. Only replicas of an earlier feeder may have run them. */
const endDropped = (
  request: ActiveRequest,
  subquery: ActiveSubquery,
  dropped: readonly string[],
  at: number,
): void => {
  const legs = openLegsOf(subquery).filter(({ service }) => dropped.includes(service));
  if (legs.length === 0) {
    return;
  }
  const { id, peer, isRepeat } = subquery;
  const shards = legs.length;
  recordDecision(request.decisions, at, { event: 'legs-dropped', subquery: id, peer, shards });
  for (const leg of legs) {
    leg.isDropped = true;
    leg.runs += Number(isRepeat);
    endLeg(request, leg, { type: 'unanswered' });
  }
};

/** Records that a part proves that a replica can run the request, and progresses other calls that wait for this evidence. */
const recordServed = (
  state: GatewayState,
  { request: { fingerprint } }: ActiveRequest,
  at: number,
): GatewayEffect[] =>
  state.crashes.histories.verdict(fingerprint, at) === 'unsuspected'
    ? []
    : [
        ...recordServedRequest(state, fingerprint, undefined, at),
        ...progressHeldRequests(state, fingerprint, at),
      ];

/** Handles `subquery-answered`. */
export const handleSubqueryAnswered = (
  state: GatewayState,
  { subquery: id, part, at }: SubqueryAnswered,
): GatewayEffect[] => {
  const found = findSubquery(state, id);
  if (found === undefined) {
    return [];
  }
  const { request, subquery } = found;
  recordAcknowledged(state, found, at);
  recordArrived(state, request, part.shards.length, at - subquery.sentAt);
  applyParts(request, subquery, part);
  recordFeederCrash(request, subquery, part);
  const elapsedMs = Math.round(at - subquery.sentAt);
  const { isFinal, unsent = [], dropped = [], waits = [] } = part;
  const parts = part.shards.length;
  recordDecision(request.decisions, at, {
    event: 'subquery-answered',
    subquery: id,
    parts,
    isFinal,
    elapsedMs,
  });
  const { feederWaits } = state.scheduling;
  if (waits.length > 0 || feederWaits.size > 0) {
    const services = subquery.legs.map(({ service }) => service);
    recordFeederWaits(feederWaits, subquery.peer, services, waits, at);
  }
  endDropped(request, subquery, dropped, at);
  const moved = moveUnsent(state, request, subquery, unsent, at);
  const cleared = parts > 0 ? recordServed(state, request, at) : [];
  if (isFinal) {
    request.subqueries.delete(id);
    state.subqueries.delete(id);
    failMissingLegs(request, subquery, at);
  }
  return [...moved, ...cleared, ...progressRequest(state, request, at)];
};

/** Handles `subquery-failed`. */
export const handleSubqueryFailed = (
  state: GatewayState,
  { subquery: id, mayHaveRun, at }: SubqueryFailed,
): GatewayEffect[] => {
  const found = findSubquery(state, id);
  if (found === undefined) {
    return [];
  }
  const { request, subquery } = found;
  return [
    ...moveLegs(state, request, subquery, mayHaveRun, at),
    ...progressRequest(state, request, at),
  ];
};

/** Handles `peer-lost`. */
export const handlePeerLost = (
  state: GatewayState,
  { peer, problem, at }: PeerLost,
): GatewayEffect[] => suspectPeer(state, peer, problem, at);

/** Handles `peer-alive`. */
export const handlePeerAlive = (state: GatewayState, { peer, at }: PeerAlive): GatewayEffect[] => {
  const wasSuspect = state.peers.isSuspect(peer, at);
  state.peers.trust(peer);
  const change: StateChange = { event: 'peer-trusted', peer };
  return wasSuspect ? [{ type: 'write-log', level: 'info', part: 'peer', change }] : [];
};
