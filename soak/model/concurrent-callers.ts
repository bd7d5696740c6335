/** Callers that send requests while earlier ones are in progress on their connection, and runs with planned work only. */
import type { Random } from '../../src/core/random.js';
import type { SoakPlan } from './plan.js';
import { drawBetween, pickGateways, QUIET_END_MS, type ScheduledFault } from './schedule.js';

/** Runs with smaller seeds have no such callers, so that earlier regression seeds are unchanged. */
export const FIRST_CONCURRENT_SEED = 10_000;

/** One in this many of these runs has no faults, only planned work throughout: every stop can be checked. */
const PLANNED_ONLY_ONE_IN = 4;
const PLANNED_ONLY_REMAINDER = 1;

/** Minimum and maximum delay of the links between callers and gateways in each direction, in milliseconds. */
const MIN_LINK_DELAY_MS = 1;
const MAX_LINK_DELAY_MS = 8;

/** Minimum and maximum time between two pairs of stops, and from the first stop of a pair to the second, in milliseconds. */
const MIN_STOP_GAP_MS = 1_000;
const MAX_STOP_GAP_MS = 6_000;
const MAX_OVERLAP_MS = 6_000;

/** Maximum time from a stop to a signal that makes other gateways read their settings again, in milliseconds. */
const MAX_RELOAD_DELAY_MS = 3_000;

/** Callers of a run that send requests while earlier ones are in progress on their connection. */
export interface ConcurrentCallersPlan {
  /** Delay between callers and gateways in each direction, in milliseconds. */
  readonly linkDelayMs: number;
}

/** Draws pairs of planned stops that often overlap, each along with changed settings of other gateways. */
const drawStops = (
  random: Random,
  durationMs: number,
  gateways: number,
): readonly ScheduledFault[] => {
  const schedule: ScheduledFault[] = [];
  for (let atMs = 0; atMs < durationMs - QUIET_END_MS;) {
    const secondMs = atMs + random.nextBelow(MAX_OVERLAP_MS);
    const reloadMs = atMs + random.nextBelow(MAX_RELOAD_DELAY_MS);
    const [first = 0, second = 0, ...others] = pickGateways(random, gateways, gateways);
    schedule.push(
      { atMs, fault: { type: 'stop-in-turn', gateways: [first] } },
      { atMs: secondMs, fault: { type: 'stop-in-turn', gateways: [second] } },
      { atMs: reloadMs, fault: { type: 'reload', gateways: others } },
    );
    atMs = secondMs + drawBetween(random, MIN_STOP_GAP_MS, MAX_STOP_GAP_MS);
  }
  return schedule;
};

/** Whether the event is work that operators plan, rather than a fault or a load. */
const isPlanned = ({ fault }: ScheduledFault): boolean =>
  fault.type === 'configure' ||
  fault.type === 'tenant-change' ||
  (fault.type === 'replica-leaves' && fault.how !== 'crash');

/** Adds these callers; a part of the runs gets planned stops in place of its faults. */
export const addConcurrentCallers = (
  plan: SoakPlan,
  random: Random,
  faultsMs: number,
): SoakPlan => {
  const linkDelayMs = drawBetween(random, MIN_LINK_DELAY_MS, MAX_LINK_DELAY_MS);
  const withCallers = { ...plan, concurrentCallers: { linkDelayMs } };
  if (plan.seed % PLANNED_ONLY_ONE_IN !== PLANNED_ONLY_REMAINDER) {
    return withCallers;
  }
  const stops = drawStops(random, faultsMs, plan.gateways);
  return {
    ...withCallers,
    schedule: [...plan.schedule.filter(isPlanned), ...stops],
    plannedWork: plan.plannedWork.filter(
      (work) => isPlanned(work) || work.fault.type === 'stop-in-turn',
    ),
    poisonRequests: [],
  };
};
