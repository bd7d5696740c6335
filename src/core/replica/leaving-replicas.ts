/**
 * Refuses new work for leaving replicas at their feeders. The feeder is the first to learn from an
 * outcome that a replica is leaving; a coordinator without that update may still send legs for it.
 */
import type { AttemptOutcome } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import { remainingLeavingMs, recordReplicaLeaving } from '../membership/replica-rumours.js';
import type { CoreState } from '../state.js';
import { reportNotRun } from './report-result.js';
import type { HeldAttempt, ReplicaFeed } from './state.js';

const indicatesLeaving = (outcome: AttemptOutcome): boolean =>
  outcome.type === 'answered'
    ? outcome.leaving === true
    : outcome.type === 'not-run' && outcome.reason === 'leaving';

/** Records that a replica is leaving if the outcome of an attempt indicates it. */
export const recordLeavingOutcome = (
  state: CoreState,
  held: HeldAttempt,
  outcome: AttemptOutcome,
  at: number,
  effects: Effect[],
): void => {
  if (indicatesLeaving(outcome)) {
    effects.push(...recordReplicaLeaving(state, held.leg.replica, at));
  }
};

/**
 * Refuses an attempt if its replica is known to be leaving; returns whether it was refused. The refusal
 * carries the remaining time of this node's record, in milliseconds. The coordinator adopts that time
 * instead of starting a new period.
 */
export const refuseIfLeaving = (
  state: CoreState,
  feed: ReplicaFeed,
  held: Pick<HeldAttempt, 'coordinator' | 'leg' | 'arrivedAt'>,
  at: number,
): boolean => {
  const leavingMs = remainingLeavingMs(state, held.leg.replica, at);
  if (leavingMs === 0 && feed.status.lifecycle !== 'leaving') {
    return false;
  }
  reportNotRun(state, held, 'leaving', at, leavingMs);
  return true;
};
