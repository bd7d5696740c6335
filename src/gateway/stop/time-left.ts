/** Whether requests can still be answered before the process ends. */
import type { StopInputs } from '../log/log-event.js';
import type { Route } from '../model/route.js';
import { type RouteLatency, slowAttemptMs } from '../requests/route-latency.js';
import type { StopSchedule } from './stop-schedule.js';

/** What the decision depends on. */
interface StopState {
  /** Undefined unless the process is stopping. */
  readonly stop: StopSchedule | undefined;
  readonly latencies: ReadonlyMap<string, RouteLatency>;
}

/** The deadline of a request: its own, or the end of the process if that is earlier. */
export const deadlineBeforeStop = ({ stop }: StopState, deadlineAt: number): number =>
  Math.min(deadlineAt, stop?.answersDueAt ?? Number.POSITIVE_INFINITY);

/** Time in which nearly all requests of the route are answered, in milliseconds. A gather is answered at its objective. */
const answerTimeMs = ({ latencies }: StopState, route: Route): number => {
  const known = latencies.get(route.name);
  return route.target.type === 'gather' || known === undefined
    ? route.objectiveMs
    : slowAttemptMs(known, route);
};

/**
 * Whether an attempt that is sent at `at` can be expected to end before the process does. A request that its caller gives up
 * sooner loses nothing by the stop.
 *
 * @param deadlineAt - deadline of the request without regard to the stop, in milliseconds on the clock
 */
export const canAnswerBeforeStop = (
  state: StopState,
  route: Route,
  deadlineAt: number,
  at: number,
): boolean => {
  const { stop } = state;
  return (
    stop === undefined ||
    deadlineAt < stop.answersDueAt ||
    at + answerTimeMs(state, route) <= stop.answersDueAt
  );
};

/** The inputs of a refusal because the process stops; undefined unless it does. */
export const describeTimeLeft = (
  state: StopState,
  route: Route,
  at: number,
): StopInputs | undefined =>
  state.stop && {
    sinceMs: Math.round(at - state.stop.since),
    leftMs: Math.round(state.stop.answersDueAt - at),
    neededMs: Math.round(answerTimeMs(state, route)),
  };
