/** Handles the ends of attempts that the driver reports, and frees their slots. */
import type { LegResult } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { predictWait } from './accept-legs.js';
import { dispatchAttempts } from './dispatch-attempts.js';
import { recordLeavingOutcome } from './leaving-replicas.js';
import { releaseHeld } from './release-held.js';
import { recordResponse, recordNoResponse } from './replica-silence.js';
import { mayDelayResult, delayResult, reportResult } from './report-result.js';
import type { ReplicaFeed } from './state.js';

const NO_RESPONSE_REASONS: ReadonlySet<string> = new Set([
  'timed-out',
  'cancelled',
  'connection-lost',
]);

const recordAttemptEnded = (feed: ReplicaFeed, result: LegResult, at: number): void => {
  const { outcome } = result;
  if (outcome.type === 'unknown' && NO_RESPONSE_REASONS.has(outcome.reason)) {
    recordNoResponse(feed, result.serviceMs, at);
  } else {
    recordResponse(feed, result.serviceMs, at);
  }
};

/** Reports the results to their coordinators and sends queued attempts to the free slots. */
export const handleAttemptsEnded = (
  state: CoreState,
  results: readonly LegResult[],
  at: number,
  effects: Effect[],
): void => {
  const freed = new Set<ReplicaFeed>();
  for (const result of results) {
    const held = state.replica.held.get(result.attempt);
    if (held === undefined || held.sentAt === undefined) {
      state.counters.answers_foreign += 1;
      continue;
    }
    recordAttemptEnded(held.feed, result, at);
    recordLeavingOutcome(state, held, result.outcome, at, effects);
    freed.add(held.feed);
    releaseHeld(state, held);
    if (!held.isCancelled) {
      const queuedMs = held.sentAt - held.arrivedAt;
      const { attempt, outcome, serviceMs } = result;
      const backlogMs = Math.round(predictWait(held.feed, held.class));
      const report = mayDelayResult(state, held, outcome, at) ? delayResult : reportResult;
      report(state, held.coordinator, { attempt, outcome, queuedMs, serviceMs, backlogMs }, at);
    }
  }
  for (const feed of freed) {
    dispatchAttempts(state, feed, at, effects);
  }
};
