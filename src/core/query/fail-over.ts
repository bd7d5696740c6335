/**
 * Sends legs again whose attempts are all at feeders that cannot be reached, through other feeders. Unlike a hedge, such an
 * attempt replaces one that is unlikely to be answered, so rows without hedging get it too.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, LegState } from './active-query.js';
import { spendExtraLoadOnCredit } from './extra-load-budget.js';
import { hasLastedLong } from './hopeless-legs.js';
import { isPeerAvoided } from './peer-observation.js';
import type { ReplicaTarget } from './query-plan.js';
import { MAX_ATTEMPTS_PER_LEG } from './retry-legs.js';
import { isUnreachable } from './select-feeder.js';
import { selectReplica } from './select-replica.js';
import { type ChosenLeg, sendChosen } from './send-legs.js';

/** Whether all running attempts of an open leg are at peers that are silent or whose link was lost. */
const isStranded = (state: CoreState, query: ActiveQuery, leg: LegState, at: number): boolean =>
  leg.status === 'open' &&
  leg.outstanding > 0 &&
  leg.attempts.length < MAX_ATTEMPTS_PER_LEG &&
  hasLastedLong(query, leg, at) &&
  leg.attempts.every(
    ({ ended, feeder }) =>
      ended ||
      (feeder.node !== state.self.node && isPeerAvoided(state.query.peers, feeder.node, at)),
  );

/** Another replica of the leg, or the one that the silent feeder was to send it to; undefined if no feeder can be reached. */
const selectTarget = (state: CoreState, leg: LegState, at: number): ReplicaTarget | undefined => {
  const target = selectReplica(state, leg, at) ?? leg.attempts.at(-1)?.target;
  return target === undefined || isUnreachable(state, target, at) ? undefined : target;
};

/** Sends the stranded legs of a query through other feeders, within the extra-load budget of its row. */
export const failOverLegs = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
): void => {
  if (query.phase !== 'running' || !query.row.safeToRepeat || !state.query.policy.retries) {
    return;
  }
  const chosen: ChosenLeg[] = [];
  for (const leg of query.legs) {
    const target = isStranded(state, query, leg, at) ? selectTarget(state, leg, at) : undefined;
    if (target === undefined) {
      continue;
    }
    if (!spendExtraLoadOnCredit(query.observed.budget)) {
      break;
    }
    chosen.push({ leg, target, purpose: 'retry' });
  }
  sendChosen(state, query, chosen, at, effects);
};
