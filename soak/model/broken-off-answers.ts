/** Replicas that break off all their answers for some time. */
import type { Random } from '../../src/core/random.js';
import { BROKEN_OFF_ANSWERS } from '../../test/platform/quick-failure.js';
import { drawBetween, drawService, QUIET_END_MS, type ScheduledFault } from './schedule.js';

/** Runs with smaller seeds have no such replicas, so that earlier regression seeds are unchanged. */
export const FIRST_BROKEN_OFF_SEED = 11_000;

/** Minimum and maximum gap between two such replicas, and time for which one breaks off its answers, in milliseconds. */
const MIN_GAP_MS = 500;
const MAX_GAP_MS = 3_000;
const MIN_FOR_MS = 500;
const MAX_FOR_MS = 5_000;

/** Draws replicas that break off their answers, in addition to the other faults. */
export const drawBrokenOffAnswers = (
  random: Random,
  durationMs: number,
): readonly ScheduledFault[] => {
  const forms = Object.keys(BROKEN_OFF_ANSWERS);
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const form = forms[random.nextBelow(forms.length)] ?? '';
    const forMs = drawBetween(random, MIN_FOR_MS, MAX_FOR_MS);
    const fault = {
      type: 'replica-breaks-off',
      service: drawService(random),
      form,
      forMs,
    } as const;
    schedule.push({ atMs, fault });
    atMs += drawBetween(random, MIN_GAP_MS, MAX_GAP_MS);
  }
  return schedule;
};
