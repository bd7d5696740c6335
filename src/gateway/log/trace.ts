/**
 * The decisions about one request, kept until its end. A request that went wrong is logged whole, the
 * others are sampled by their identifiers, so that all gateways keep the same ones.
 */
import { hash32 } from '../../core/hash.js';
import type { GatewayEffect } from '../effect.js';
import type { Decision, TracedDecision, TraceReason } from './log-event.js';

/** One of so many requests without trouble is logged. */
const SAMPLING_INTERVAL = 64;

/** Decisions kept for one request. */
const MAX_DECISIONS = 400;

/** Adds a decision to those of a request. */
export const recordDecision = (
  decisions: TracedDecision[],
  at: number,
  decision: Decision,
): void => {
  if (decisions.length < MAX_DECISIONS) {
    decisions.push({ at, decision });
  }
};

const isSampled = (requestId: string): boolean => hash32(requestId) % SAMPLING_INTERVAL === 0;

/** Logs the decisions of a request that has ended, if they are wanted. */
export const writeTrace = (
  requestId: string,
  decisions: readonly TracedDecision[],
  failed: boolean,
): GatewayEffect[] => {
  if (!failed && !isSampled(requestId)) {
    return [];
  }
  const reason: TraceReason = failed ? 'failed' : 'sampled';
  return [{ type: 'write-trace', requestId, reason, decisions }];
};
