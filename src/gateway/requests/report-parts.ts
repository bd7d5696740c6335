/** Sends the parts of a subquery to its coordinator. */
import type { AnswerSubquery, GatewayEffect } from '../effect.js';
import { recordDecision, writeTrace } from '../log/trace.js';
import type { ShardPart } from '../model/subquery.js';
import type { GatewayState } from '../state.js';
import { giveUpAttempts, LINGER_MS } from './give-up-attempts.js';
import { mergeRecords } from './merge-records.js';
import type { ActiveRequest, Leg } from './request-state.js';

/** Whether a leg ended without an attempt and the coordinator has not been informed yet. */
const isUnsent = ({ isReported, outcome, wasSent }: Leg): boolean =>
  !isReported && outcome?.type === 'unanswered' && !wasSent;

/** Whether the coordinator should at once request a part from another feeder. */
export const hasUnsent = ({ legs }: ActiveRequest): boolean => legs.some(isUnsent);

/** Collects the received parts that were not reported yet, and marks them as reported. */
const collectUnreportedParts = (
  { call, legs, crashes, isStopped }: ActiveRequest,
  maxRecords: number,
  isFinal: boolean,
): AnswerSubquery => {
  const shards: ShardPart[] = [];
  const bodies: Uint8Array[] = [];
  const unsent = legs.filter(isUnsent);
  unsent.forEach((leg) => {
    leg.isReported = true;
  });
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
    unsent: unsent.map(({ service }) => service),
    isFinal,
    ...((crashes > 0 || isStopped) && { hasCrashed: true }),
  };
  return { type: 'answer-subquery', call, part };
};

/** Sends the received parts and unsent shards that were not reported yet. */
export const reportParts = (request: ActiveRequest, maxRecords: number): GatewayEffect[] => {
  const answer = collectUnreportedParts(request, maxRecords, false);
  const { shards, unsent = [] } = answer.part;
  return shards.length + unsent.length > 0 ? [answer] : [];
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
    collectUnreportedParts(request, maxRecords, true),
    ...giveUpAttempts(state, request, LINGER_MS, at),
    ...writeTrace(request.request.requestId, request.decisions, isLate || missing.length > 0),
  ];
};
