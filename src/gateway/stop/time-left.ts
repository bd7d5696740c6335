/** Whether requests can still be answered before the process ends. */
import type { StopInputs } from '../log/log-event.js';
import { type Route, servicesOf } from '../model/route.js';
import { connectionShare } from '../replicas/connection-share.js';
import { eligibleReplicas } from '../replicas/eligible-replicas.js';
import { expectedWait, isExcluded } from '../replicas/select-replica.js';
import { type AttemptTimes, attemptTimes } from '../requests/route-latency.js';
import type { GatewayState } from '../state.js';

/** The deadline of a request: its own, or the end of the process if that is earlier. */
export const deadlineBeforeStop = (
  { stop }: Pick<GatewayState, 'stop'>,
  deadlineAt: number,
): number => Math.min(deadlineAt, stop?.answersDueAt ?? Number.POSITIVE_INFINITY);

/** Durations of attempts for the route. A gather is answered at its objective. */
const timesOf = ({ latencies }: GatewayState, route: Route): AttemptTimes => {
  const { target, objectiveMs, name } = route;
  const known = latencies.get(name);
  return target.type === 'gather' || known === undefined
    ? { meanMs: objectiveMs, slowMs: objectiveMs }
    : attemptTimes(known, route);
};

/**
 * Longest time that an attempt waits for a slot at the replica with the shortest queue, in usual latencies: all slots may just
 * have been taken, so that the first one in the queue waits for a whole latency. 0 if there is no usable replica.
 */
const shortestWait = (state: GatewayState, route: Route, service: string, at: number): number => {
  const connections = connectionShare(state, service, at);
  const waits = eligibleReplicas(state, service, route.allowedRegions)
    .filter((replica) => !isExcluded(replica, at))
    .map((replica) => Math.ceil(expectedWait(replica, connections, at)));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/**
 * Longest wait of a request for a slot, in usual latencies; a gather is answered at its objective whatever waits.
 *
 * @param service - where the request goes; undefined if not chosen yet, which counts as the one with the shortest wait
 */
const waitOf = (
  state: GatewayState,
  route: Route,
  service: string | undefined,
  at: number,
): number => {
  if (route.target.type === 'gather') {
    return 0;
  }
  const services = service === undefined ? servicesOf(route.target) : [service];
  const waits = services.map((each) => shortestWait(state, route, each, at));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/** Time in which nearly all requests of the route that arrive at `at` are answered, in milliseconds. */
const answerTimeMs = (
  state: GatewayState,
  route: Route,
  service: string | undefined,
  at: number,
): number => {
  const { meanMs, slowMs } = timesOf(state, route);
  return waitOf(state, route, service, at) * meanMs + slowMs;
};

/** Whether something that takes `neededMs` from `at` on is unaffected by the stop, or ends before it. */
const endsBeforeStop = (
  { stop }: GatewayState,
  deadlineAt: number,
  at: number,
  neededMs: () => number,
): boolean =>
  stop === undefined || deadlineAt < stop.answersDueAt || at + neededMs() <= stop.answersDueAt;

/**
 * Whether an attempt that is sent at `at` can be expected to end before the process does. A request that its caller gives up
 * sooner loses nothing by the stop.
 *
 * @param deadlineAt - deadline of the request without regard to the stop, in milliseconds on the clock
 * @param service - where the request goes; absent if that is not chosen yet
 */
export const canAnswerBeforeStop = (
  state: GatewayState,
  route: Route,
  deadlineAt: number,
  at: number,
  service?: string,
): boolean => endsBeforeStop(state, deadlineAt, at, () => answerTimeMs(state, route, service, at));

/** The same for an attempt that waits for a connection and whose wait ends at `at`. */
export const canAnswerWaiting = (
  state: GatewayState,
  route: Route,
  deadlineAt: number,
  at: number,
): boolean => endsBeforeStop(state, deadlineAt, at, () => timesOf(state, route).slowMs);

/** The inputs of a refusal because the process stops; undefined unless it does. */
export const describeTimeLeft = (
  state: GatewayState,
  route: Route,
  at: number,
): StopInputs | undefined => {
  const { stop } = state;
  if (stop === undefined) {
    return undefined;
  }
  const { meanMs, slowMs } = timesOf(state, route);
  const waitMs = Math.round(waitOf(state, route, undefined, at) * meanMs);
  return {
    sinceMs: Math.round(at - stop.since),
    leftMs: Math.round(stop.answersDueAt - at),
    neededMs: Math.round(slowMs),
    ...(waitMs > 0 && { waitMs }),
  };
};
