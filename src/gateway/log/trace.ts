/**
 * Collects the decisions about one request until it ends. All decisions about a failed request are logged. Other
 * requests are sampled by their identifiers, so that all gateways log the same ones.
 */
import { hash32 } from '../../core/hash.js';
import type { GatewayEffect } from '../effect.js';
import type { Decision, TracedDecision, TraceReason } from './log-event.js';

/** One of this many successful requests is logged. */
const SAMPLING_INTERVAL = 64;

/** Maximum number of decisions recorded for one request. */
const MAX_DECISIONS = 400;

/**
 * Adds a decision to those of a request, unless the maximum is reached.
 *
 * @param at - milliseconds on the monotonic clock
 */
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

/** Returns the effect that logs the decisions about a request that has ended; none if it succeeded and is not sampled. */
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
