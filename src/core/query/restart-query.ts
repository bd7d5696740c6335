/** Restarts a whole query once, on another snapshot, when the pinned snapshot is gone. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, LegState } from './active-query.js';
import { buildQueryPlan } from './build-query-plan.js';
import { mayHaveRun, releaseLegs } from './finish-query.js';
import { createAnswerMerge } from './merge-answers.js';
import { createLeg, scatterLegs } from './scatter-query.js';
import { countRequiredShards } from './required-shards.js';

/** Maximum number of restarts of one query. */
const MAX_RESTARTS = 1;
/** Minimum time before the deadline for a restart, in mean latencies of the leg's service. */
const MIN_LATENCIES_LEFT = 2;

const isSnapshotGone = (leg: LegState): boolean =>
  leg.reason === 'snapshot-gone' || leg.reason === 'unknown-shard';

const hasTimeToRestart = (query: ActiveQuery, leg: LegState, at: number): boolean =>
  query.deadlineAt - at > MIN_LATENCIES_LEFT * leg.shard.observed.latencyMs;

const mayRestart = (query: ActiveQuery, leg: LegState, at: number): boolean =>
  isSnapshotGone(leg) &&
  query.restarts < MAX_RESTARTS &&
  hasTimeToRestart(query, leg, at) &&
  (query.row.safeToRepeat || !query.legs.some(mayHaveRun));

/**
 * Restarts `query` if one of `legs` failed because the snapshot is gone and another snapshot can be
 * pinned. No answer of the first run is kept. Returns whether the query was restarted.
 */
export const restartIfSnapshotGone = (
  state: CoreState,
  query: ActiveQuery,
  legs: readonly LegState[],
  at: number,
  effects: Effect[],
): boolean => {
  if (!legs.some((leg) => mayRestart(query, leg, at))) {
    return false;
  }
  const plan = buildQueryPlan(state, query.row, query.query, at);
  if (plan.type === 'refuse' || plan.snapshot === query.context.snapshot) {
    return false;
  }
  releaseLegs(state, query, at, effects);
  query.restarts += 1;
  state.counters.restarts_whole += 1;
  query.context = { ...query.context, snapshot: plan.snapshot };
  query.legs = plan.shards.map(createLeg);
  query.merge = createAnswerMerge(query.row.merge, query.context.maxItems);
  query.contributed = 0;
  query.open = query.legs.length;
  query.needed = query.legs.length;
  query.legsAwaitingRetry = [];
  query.nearlyComplete = false;
  query.requiredShards = countRequiredShards(query.row, query.query, query.legs.length);
  scatterLegs(state, query, 'first', at, effects);
  return true;
};
