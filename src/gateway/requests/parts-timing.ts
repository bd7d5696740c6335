/**
 * When feeders send parts. A feeder sends the parts of a subquery together, since each message costs processor time on both
 * sides. Parts of urgent requests must nevertheless reach their coordinator before it answers.
 */
import type { GatewayState } from '../state.js';
import { addDelay, type DelayHistogram, delayQuantile } from './delay-histogram.js';
import { type ActiveRequest, isAnswered, type Leg } from './request-state.js';
import { hedgeDelay, latencyOf } from './route-latency.js';

/** Time reserved for the transfer of parts until enough round trips were measured, in milliseconds. */
const PARTS_MARGIN_MS = 8;

/**
 * Share of the round trips that the measured margin covers, and the number of samples that it requires. A batch that is late
 * costs all of its parts, a margin that is too large some messages.
 */
const ROUND_TRIP_LEVEL = 0.98;
const MIN_ROUND_TRIPS = 50;

/**
 * Bounds of the measured margin, in milliseconds. After the margin has begun, parts are sent one by one, so that a larger
 * one costs messages.
 */
const MIN_PARTS_MARGIN_MS = 5;
const MAX_PARTS_MARGIN_MS = 16;

/**
 * A feeder whose parts are due within this time after the subquery, in milliseconds, sends those that it has as soon as all
 * others are stalled. A timer or message that is 10 ms late costs such a request most of the time that is left, and feeders
 * that all send at the due time keep their coordinator busy just before it answers.
 */
const URGENT_PARTS_MS = 50;

/** Share of the legs that must be answered for that. */
const EARLY_PARTS_SHARE = 0.5;

/**
 * Records how long a feeder took to acknowledge a subquery, apart from the time that it waits before that. This covers the
 * way of the subquery, the delays of both processes and the way of a message back.
 */
export const recordRoundTrip = (
  roundTrips: DelayHistogram,
  elapsedMs: number,
  acknowledgeAfterMs: number,
): void => addDelay(roundTrips, elapsedMs - acknowledgeAfterMs);

/**
 * Time before the coordinator's answer is due at which feeders send their parts, in milliseconds. The feeder counts from the
 * arrival of the subquery, so that the margin covers both ways.
 */
export const partsMarginMs = (roundTrips: DelayHistogram): number =>
  roundTrips.total < MIN_ROUND_TRIPS
    ? PARTS_MARGIN_MS
    : Math.min(
        MAX_PARTS_MARGIN_MS,
        Math.max(MIN_PARTS_MARGIN_MS, delayQuantile(roundTrips, ROUND_TRIP_LEVEL)),
      );

/** Whether a leg is held, paused or hedged, or has run or waited for so long that it would be hedged. */
const isStalled = (
  state: GatewayState,
  { running, resumeAt, waiting }: Leg,
  hedgeAfterMs: number,
  at: number,
): boolean => {
  if (waiting !== undefined) {
    return at - waiting.since >= hedgeAfterMs;
  }
  return (
    resumeAt !== undefined ||
    running.size > 1 ||
    [...running].every((id) => at - (state.attempts.get(id)?.sentAt ?? at) >= hedgeAfterMs)
  );
};

/**
 * Whether a feeder sends the parts that it has before they are due: the request is urgent and all others are stalled. This
 * is done once, so that it costs at most one message for each subquery.
 */
export const shouldSendEarly = (
  state: GatewayState,
  request: ActiveRequest,
  at: number,
): boolean => {
  const { legs, answeredLegs, objectiveAt, receivedAt, route } = request;
  const isUrgent = objectiveAt - receivedAt <= URGENT_PARTS_MS;
  if (!isUrgent || answeredLegs < legs.length * EARLY_PARTS_SHARE) {
    return false;
  }
  if (legs.some((leg) => leg.isReported && isAnswered(leg))) {
    return false;
  }
  const hedgeAfterMs = hedgeDelay(latencyOf(state, request), route, objectiveAt - receivedAt);
  return legs.every((leg) => leg.outcome !== undefined || isStalled(state, leg, hedgeAfterMs, at));
};
