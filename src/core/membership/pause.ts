/**
 * A node that was paused finds out from the gap on its own clock. Its timers prove nothing about
 * peers then, and peers may have suspected it.
 */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';
import { raiseIncarnation } from './apply-update.js';
import { PAUSE_THRESHOLD_MS } from './bounds.js';
import { extendProbes } from './probes.js';
import { getSelfIdentity } from './self-identity.js';
import { postponeSuspicions } from './suspicion.js';
import { armTick } from './tick.js';

/** Notices that this node has not run for a while; to be called before anything else. */
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
