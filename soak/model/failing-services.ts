/** Services that fail while all gateways are killed. */
import type { Random } from '../../src/core/random.js';
import { SINGLE_SERVICES } from '../world/topology.js';
import { drawBetween, QUIET_END_MS, type ScheduledFault } from './schedule.js';

/** Minimum and maximum time for which a service fails, in milliseconds. */
const MIN_FAILING_MS = 9_000;
const MAX_FAILING_MS = 11_000;

/** Time from the failure of a service to the first kill, maximum gap between the kills, and downtime, in milliseconds. */
const FIRST_KILL_MS = 2_000;
const MAX_KILL_GAP_MS = 3_000;
const KILLED_MS = 200;

/**
 * Draws a failure of the services of all single requests, during which all gateways are killed twice within a window of the
 * retry budget, in addition to the other faults.
 */
export const drawFailingServices = (
  random: Random,
  durationMs: number,
  gateways: number,
): readonly ScheduledFault[] => {
  const atMs = random.nextBelow(Math.max(1, durationMs - QUIET_END_MS - MAX_FAILING_MS));
  const forMs = drawBetween(random, MIN_FAILING_MS, MAX_FAILING_MS);
  const all = Array.from({ length: gateways }, (_, index) => index);
  const firstKillMs = atMs + FIRST_KILL_MS;
  const secondKillMs = firstKillMs + drawBetween(random, 1_000, MAX_KILL_GAP_MS);
  return [
    ...SINGLE_SERVICES.map((service): ScheduledFault => ({
      atMs,
      fault: { type: 'service-fails', service, forMs },
    })),
    ...[firstKillMs, secondKillMs].map((killMs): ScheduledFault => ({
      atMs: killMs,
      fault: { type: 'kill', gateways: all, downMs: KILLED_MS },
    })),
  ];
};
