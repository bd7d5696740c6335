/** Sends the parts of a subquery to its coordinator. */
import type { AnswerSubquery, GatewayEffect } from '../effect.js';
import { recordDecision, writeTrace } from '../log/trace.js';
import type { ShardPart, ShardWait } from '../model/subquery.js';
import type { GatewayState } from '../state.js';
import { giveUpAttempts, LINGER_MS } from './give-up-attempts.js';
import { mergeRecords } from './merge-records.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** Whether a leg ended without an attempt and the coordinator has not been informed yet. */
const isUnstarted = ({ isReported, outcome, wasSent }: Leg): boolean =>
  !isReported && outcome?.type === 'unanswered' && !wasSent;

/** Whether the coordinator should be informed at once of a leg that ended without an attempt. */
export const hasUrgentReport = ({ legs }: ActiveRequest): boolean => legs.some(isUnstarted);

const servicesOfLegs = (legs: readonly Leg[]): readonly string[] =>
  legs.map(({ service }) => service);

/** Expected waits at the shards of a subquery, for the coordinator. */
const collectWaits = (
  { scheduling }: GatewayState,
  { legs }: ActiveRequest,
  at: number,
): readonly ShardWait[] =>
  scheduling.waiting === 0
    ? []
    : legs.flatMap(({ service }) =>
        (scheduling.queues.get(service)?.waits(at) ?? []).map(({ rank, waitMs }) => ({
          service,
          rank,
          waitMs: Math.round(waitMs),
        })),
      );

/** Collects the received parts that were not reported yet, and marks them as reported. */
const collectUnreportedParts = (
  state: GatewayState,
  request: ActiveRequest,
  maxRecords: number,
  isFinal: boolean,
  at: number,
): AnswerSubquery => {
  const { call, legs, crashes, isStopped } = request;
  const shards: ShardPart[] = [];
  const bodies: Uint8Array[] = [];
  const unstarted = legs.filter(isUnstarted);
  unstarted.forEach((leg) => {
    leg.isReported = true;
  });
  const unsent = servicesOfLegs(unstarted.filter(({ isDropped }) => !isDropped));
  const dropped = servicesOfLegs(unstarted.filter(({ isDropped }) => isDropped));
  const waits = collectWaits(state, request, at);
  for (const leg of legs) {
    if (leg.isReported || leg.outcome?.type !== 'answered') {
      continue;
    }
    const { signature, body } = leg.outcome.answer;
    if (signature !== undefined) {
      leg.isReported = true;
      shards.push({ service: leg.service, signature });
      bodies.push(body);
    }
  }
  const records = mergeRecords(bodies, maxRecords);
  const part = {
    shards,
    records,
    unsent,
    isFinal,
    ...((crashes > 0 || isStopped) && { hasCrashed: true }),
    ...(dropped.length > 0 && { dropped }),
    ...(waits.length > 0 && { waits }),
  };
  return { type: 'answer-subquery', call, part };
};

/** Sends the received parts, and the shards without an attempt, that were not reported yet. */
export const reportParts = (
  state: GatewayState,
  request: ActiveRequest,
  maxRecords: number,
  at: number,
): GatewayEffect[] => {
  const answer = collectUnreportedParts(state, request, maxRecords, false, at);
  const { shards, unsent = [], dropped = [] } = answer.part;
  return shards.length + unsent.length + dropped.length > 0 ? [answer] : [];
};

/** Sends the remaining parts and ends the subquery. */
export const finishSubquery = (
  state: GatewayState,
  request: ActiveRequest,
  maxRecords: number,
  at: number,
): GatewayEffect[] => {
  state.requests.delete(request.call);
  const missing = request.legs
    .filter(({ outcome }) => outcome?.type !== 'answered')
    .map(({ service }) => service);
  const elapsedMs = Math.round(at - request.receivedAt);
  recordDecision(request.decisions, at, { event: 'parts-sent', missing, elapsedMs });
  const isLate = at > request.objectiveAt;
  return [
    collectUnreportedParts(state, request, maxRecords, true, at),
    ...giveUpAttempts(state, request, LINGER_MS, at),
    ...writeTrace(request.request.requestId, request.decisions, isLate || missing.length > 0),
  ];
};
