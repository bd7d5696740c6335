/**
 * Keeps new work from replicas that leave, at their feeders: what a replica says of itself reaches
 * its feeder first, and a coordinator that has not heard of it yet may still hand legs over.
 */
import type { AttemptOutcome } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import { leavingForMs, noteReplicaLeaving } from '../membership/replica-rumours.js';
import type { CoreState } from '../state.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, ReplicaFeed } from './state.js';

const indicatesLeaving = (outcome: AttemptOutcome): boolean =>
  outcome.type === 'answered'
    ? outcome.leaving === true
    : outcome.type === 'not-run' && outcome.reason === 'leaving';

/** Notes what the end of an attempt says of its replica's leaving. */
export const recordLeavingOutcome = (
  state: CoreState,
  held: HeldAttempt,
  outcome: AttemptOutcome,
  at: number,
  effects: Effect[],
): void => {
  if (indicatesLeaving(outcome)) {
    effects.push(...noteReplicaLeaving(state, held.leg.replica, at));
  }
};

/**
 * Refuses an attempt whose replica is known to leave; false when it is not. The refusal says for how
 * long this node believes so: the coordinator takes that over and does not count it as a new sign.
 */
export const refuseIfLeaving = (
  state: CoreState,
  feed: ReplicaFeed,
  held: Pick<HeldAttempt, 'coordinator' | 'leg' | 'arrivedAt'>,
  at: number,
): boolean => {
  const leavingMs = leavingForMs(state, held.leg.replica, at);
  if (leavingMs === 0 && feed.status.lifecycle !== 'leaving') {
    return false;
  }
  reportNotRun(state, held, 'leaving', at, leavingMs);
  return true;
};
