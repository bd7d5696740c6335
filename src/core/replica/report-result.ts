/**
 * Results on their way from the feeder to the coordinators. Those of one step go together. An answer
 * may wait a little for others, as long as its coordinator allows it and the query can't end without
 * another result of this feeder; see docs/design/25-results-in-batches.md.
 */
import type { AttemptOutcome, LegResult, NotRunReason } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import { gatherAnswers } from '../query/gather-answers.js';
import type { CoreState } from '../state.js';
import type { HeldAttempt } from './state.js';

/** Notes a result for its coordinator. */
export const reportResult = (state: CoreState, coordinator: NodeId, result: LegResult): void => {
  const waiting = state.replica.results.get(coordinator);
  if (waiting === undefined) {
    state.replica.results.set(coordinator, [result]);
  } else {
    waiting.push(result);
  }
};

/**
 * Share of a message's legs that are open when no answer waits any more: the last legs of a query
 * decide when it ends and which of them are hedged.
 */
const LAST_LEGS_SHARE = 0.2;

/** Time before a query's deadline from which on no answer waits, in milliseconds. */
const NO_DELAY_BEFORE_DEADLINE_MS = 50;

/**
 * Whether a result may wait for others: an answer, of a query that is not about to end, while many
 * legs of the same message are still open. The next one that may not takes along those that wait.
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

/** Notes a result that may wait for others to its coordinator. */
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

/** Takes out what waits for a coordinator, with the time that each has waited. */
const takeDelayedResults = (state: CoreState, coordinator: NodeId, at: number): LegResult[] => {
  const waiting = state.replica.delayedResults.get(coordinator);
  if (waiting === undefined) {
    return [];
  }
  state.replica.delayedResults.delete(coordinator);
  return waiting.map(({ result, since }) => ({ ...result, heldMs: at - since }));
};

/** Lets all results that wait go with this step. */
export const releaseDelayedResults = (state: CoreState, at: number): void => {
  state.replica.resultTimerSet = false;
  for (const coordinator of [...state.replica.delayedResults.keys()]) {
    for (const result of takeDelayedResults(state, coordinator, at)) {
      reportResult(state, coordinator, result);
    }
  }
};

/** Forgets the results that wait for a coordinator which is out of reach. */
export const discardDelayedResults = (state: CoreState, coordinator: NodeId): void => {
  state.replica.delayedResults.delete(coordinator);
};

/** Sees to it that nothing waits for longer than allowed; one timer serves all coordinators. */
const setResultTimer = (state: CoreState, at: number, effects: Effect[]): void => {
  const { replica, query } = state;
  if (replica.resultTimerSet || replica.delayedResults.size === 0) {
    return;
  }
  replica.resultTimerSet = true;
  const key = { purpose: 'results-due', subject: '' } as const;
  effects.push({ type: 'set-timer', key, at: at + query.policy.resultWaitMs });
};

/** Notes that an attempt provably did not run. */
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
  const results = [...takeDelayedResults(state, coordinator, at), ...ended];
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

/** Sends all results noted in this step; this node's own go straight to its queries. */
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
