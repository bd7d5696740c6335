/**
 * Detection of process pauses by a gap on the node's own clock. After a pause, expired timers give
 * no evidence about peers, and peers may have suspected this node.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { raiseIncarnation } from './apply-update.js';
import { PAUSE_THRESHOLD_MS } from './bounds.js';
import { extendProbes } from './probes.js';
import { getSelfIdentity } from './self-identity.js';
import { postponeSuspicions } from './suspicion.js';
import { armTick } from './tick.js';

/** Detects a pause of this process and recovers from it; must run before the event is handled. */
export const detectPause = (state: CoreState, at: number): Effect[] => {
  const { membership } = state;
  const gap = at - membership.tickDueAt;
  if (gap < PAUSE_THRESHOLD_MS) {
    return [];
  }
  state.counters.pauses_noticed += 1;
  return [
    armTick(membership, at),
    ...extendProbes(state, at),
    ...postponeSuspicions(state, at),
    ...raiseIncarnation(state, getSelfIdentity(state).incarnation, at),
    {
      type: 'write-log',
      level: 'warn',
      part: 'membership',
      sentence: `this node did not run for ${Math.round(gap)} ms`,
    },
  ];
};
