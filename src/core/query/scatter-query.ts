/** Starts the legs of a query. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptPurpose, LegState } from './active-query.js';
import { creditExtraLoad, spendExtraLoad } from './extra-load-budget.js';
import { finishIfDone, markMissing } from './finish-query.js';
import { startHedging } from './hedge-legs.js';
import type { ShardTarget } from './query-plan.js';
import { recordProbe } from './record-observation.js';
import { selectProbeReplica } from './select-replica.js';
import { type ChosenLeg, sendChosen, sendLegs } from './send-legs.js';

/** Creates an open leg without attempts. */
export const createLeg = (shard: ShardTarget, index: number): LegState => ({
  index,
  shard,
  attempts: [],
  outstanding: 0,
  status: 'open',
  reason: undefined,
  mayHaveRun: false,
});

/** Chooses legs to send as probes to ejected replicas, each in addition to the leg's own attempt. */
const chooseProbes = (state: CoreState, query: ActiveQuery, at: number): ChosenLeg[] => {
  const chosen: ChosenLeg[] = [];
  if (!query.row.safeToRepeat || state.query.policy.replicaChoice !== 'observed') {
    return chosen;
  }
  const probed = new Set<string>();
  for (const leg of query.legs) {
    const target = leg.outstanding > 0 ? selectProbeReplica(state, leg, at) : undefined;
    if (target === undefined || probed.has(target.endpoint)) {
      continue;
    }
    if (!spendExtraLoad(query.observed.budget)) {
      break;
    }
    probed.add(target.endpoint);
    recordProbe(target.observed, state.random, at);
    chosen.push({ leg, target, purpose: 'probe' });
  }
  return chosen;
};

/** Sends an attempt of each leg of the plan and sets the hedge timer; legs without a replica are missing. */
export const scatterLegs = (
  state: CoreState,
  query: ActiveQuery,
  purpose: AttemptPurpose,
  at: number,
  effects: Effect[],
): void => {
  for (const leg of sendLegs(state, query, query.legs, purpose, at, effects)) {
    markMissing(query, leg, 'no-replica');
  }
  startHedging(state, query, at, effects);
};

/** Sends the first attempts of a query's legs and any probes that are due. */
export const scatterQuery = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  state.counters.legs_needed += query.legs.length;
  query.needed += query.legs.length;
  creditExtraLoad(query.observed.budget, query.row.extraLoadLimit, query.legs.length);
  scatterLegs(state, query, 'first', at, effects);
  sendChosen(state, query, chooseProbes(state, query, at), at, effects);
  finishIfDone(state, query, at, effects);
};
