/**
 * Sends results from the feeder to the coordinators. Results of one step are sent together. An answer
 * may be delayed to be sent with others if its coordinator allows it and the query cannot end without
 * another result of this feeder; see docs/design/25-results-in-batches.md.
 */
import type { AttemptOutcome, LegResult, NotRunReason } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import { gatherAnswers } from '../query/gather-answers.js';
import type { CoreState } from '../state.js';
import type { HeldAttempt } from './state.js';

/** Adds a result that is sent to its coordinator at the end of this step. */
export const reportResult = (state: CoreState, coordinator: NodeId, result: LegResult): void => {
  const waiting = state.replica.results.get(coordinator);
  if (waiting === undefined) {
    state.replica.results.set(coordinator, [result]);
  } else {
    waiting.push(result);
  }
};

/**
 * No answer is delayed once at most this share of its message's legs is open. The last legs determine
 * when the query ends and which of them are hedged.
 */
const LAST_LEGS_SHARE = 0.2;

/** Time before a query's deadline in which no answer is delayed, in milliseconds. */
const NO_DELAY_BEFORE_DEADLINE_MS = 50;

/**
 * Whether a result may be delayed: it is an answer, its deadline is not near and enough legs of the
 * same message are open. The next result that is not delayed is sent together with the delayed ones.
 */
export const mayDelayResult = (
  state: CoreState,
  held: HeldAttempt,
  outcome: AttemptOutcome,
  at: number,
): boolean =>
  held.batch.mayWait &&
  held.batch.open > LAST_LEGS_SHARE * held.batch.size &&
  outcome.type === 'answered' &&
  outcome.leaving !== true &&
  held.deadlineAt - at > NO_DELAY_BEFORE_DEADLINE_MS &&
  state.query.policy.resultWaitMs > 0 &&
  state.phase === 'serving';

/** Adds a result that may be delayed and sent with others to its coordinator. */
export const delayResult = (
  state: CoreState,
  coordinator: NodeId,
  result: LegResult,
  at: number,
): void => {
  const others = state.replica.delayedResults.get(coordinator);
  if (others === undefined) {
    state.replica.delayedResults.set(coordinator, [{ result, since: at }]);
  } else {
    others.push({ result, since: at });
  }
};

/** Removes and returns the delayed results for a coordinator, each with its delay in milliseconds. */
const removeDelayedResults = (state: CoreState, coordinator: NodeId, at: number): LegResult[] => {
  const waiting = state.replica.delayedResults.get(coordinator);
  if (waiting === undefined) {
    return [];
  }
  state.replica.delayedResults.delete(coordinator);
  return waiting.map(({ result, since }) => ({ ...result, heldMs: at - since }));
};

/** Moves all delayed results to those sent at the end of this step. */
export const releaseDelayedResults = (state: CoreState, at: number): void => {
  state.replica.resultTimerSet = false;
  for (const coordinator of [...state.replica.delayedResults.keys()]) {
    for (const result of removeDelayedResults(state, coordinator, at)) {
      reportResult(state, coordinator, result);
    }
  }
};

/** Discards the delayed results for a coordinator whose link was lost. */
export const discardDelayedResults = (state: CoreState, coordinator: NodeId): void => {
  state.replica.delayedResults.delete(coordinator);
};

/** Sets the timer that limits the delay of results; one timer serves all coordinators. */
const setResultTimer = (state: CoreState, at: number, effects: Effect[]): void => {
  const { replica, query } = state;
  if (replica.resultTimerSet || replica.delayedResults.size === 0) {
    return;
  }
  replica.resultTimerSet = true;
  const key = { purpose: 'results-due', subject: '' } as const;
  effects.push({ type: 'set-timer', key, at: at + query.policy.resultWaitMs });
};

/** Reports to its coordinator that an attempt provably did not run. */
export const reportNotRun = (
  state: CoreState,
  held: Pick<HeldAttempt, 'coordinator' | 'leg' | 'arrivedAt'>,
  reason: NotRunReason,
  at: number,
  retryAfterMs?: number,
): void => {
  const pause = retryAfterMs === undefined ? {} : { retryAfterMs };
  const outcome: AttemptOutcome = { type: 'not-run', reason, ...pause };
  const queuedMs = at - held.arrivedAt;
  reportResult(state, held.coordinator, {
    attempt: held.leg.attempt,
    outcome,
    queuedMs,
    serviceMs: 0,
  });
};

const sendResults = (
  state: CoreState,
  coordinator: NodeId,
  ended: readonly LegResult[],
  at: number,
  effects: Effect[],
): void => {
  const results = [...removeDelayedResults(state, coordinator, at), ...ended];
  const member = state.membership.members.get(coordinator);
  if (member !== undefined) {
    const { address } = member.identity;
    effects.push({
      type: 'send-link',
      to: coordinator,
      address,
      message: { type: 'leg-results', results },
    });
  }
};

/** Sends all results of this step; results for this node go directly to its queries. */
export const flushResults = (state: CoreState, at: number, effects: Effect[]): void => {
  const { results } = state.replica;
  while (results.size > 0) {
    const batches = [...results.entries()];
    results.clear();
    for (const [coordinator, batch] of batches) {
      if (coordinator === state.self.node) {
        gatherAnswers(state, coordinator, batch, at, effects);
      } else {
        sendResults(state, coordinator, batch, at, effects);
      }
    }
  }
  setResultTimer(state, at, effects);
};
