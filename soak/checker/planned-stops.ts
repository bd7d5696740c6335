/** Checks that a planned stop cuts off no request, makes the gateway not ready, and ends within the grace period. */
import type { CallerRequest, PlannedStop, Scope } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import type { Violation } from './violation.js';

/** Time after SIGTERM for which the process may still be ready, in milliseconds. */
const MAX_READY_MS = 4_000;

/** Whether the gateways had only planned disturbances from `contactMs` before `from` until `to`. */
const hadOnlyPlannedWork = (
  evidence: Evidence,
  gateways: readonly number[],
  from: number,
  to: number,
) => {
  const concerns = (scope: Scope, planned: boolean): boolean =>
    !planned && scope.type === 'gateway' && gateways.includes(scope.gateway);
  return evidence.isUndisturbed(concerns, from - evidence.run.bounds.contactMs, to);
};

const checkEnd = (evidence: Evidence, stop: PlannedStop): readonly Violation[] => {
  const { gateway, at, endedAt, exitCode } = stop;
  const { graceMs } = evidence.run.bounds;
  const promise = 'planned-stops';
  if (!hadOnlyPlannedWork(evidence, [gateway], at, endedAt ?? at + graceMs)) {
    return [];
  }
  evidence.recordCases('planned-stops', 1);
  if (endedAt === undefined || endedAt - at > graceMs) {
    const text = `the process had not exited ${graceMs} ms after SIGTERM`;
    return [{ promise, at: at + graceMs, gateway, text }];
  }
  const text = `the process exited with ${String(exitCode)} after SIGTERM`;
  return exitCode === 0 ? [] : [{ promise, at: endedAt, gateway, text }];
};

const checkReadiness = (evidence: Evidence, stop: PlannedStop): readonly Violation[] => {
  const { gateway, at, endedAt = at + evidence.run.bounds.graceMs } = stop;
  const stillReady = evidence.observations.readiness.find(
    (sample) =>
      sample.gateway === gateway &&
      sample.ready &&
      sample.at > at + MAX_READY_MS &&
      sample.at < endedAt,
  );
  if (stillReady === undefined || !hadOnlyPlannedWork(evidence, [gateway], at, endedAt)) {
    return [];
  }
  const text = `the process was ready ${Math.round(stillReady.at - at)} ms after SIGTERM`;
  return [{ promise: 'planned-stops', at: stillReady.at, gateway, text }];
};

/** Whether the services at which the request arrived were undisturbed. */
const hadUndisturbedReplicas = (
  evidence: Evidence,
  { id, sentAt, endedAt }: CallerRequest,
): boolean => {
  const services = new Set(evidence.arrivalsOf(id).map(({ service }) => service));
  const concerns = (scope: Scope): boolean =>
    scope.type === 'service' && services.has(scope.service);
  return evidence.isUndisturbed(concerns, sentAt, endedAt);
};

/** Whether the connection closed soon after the request was sent and before it was read, which is allowed. */
const wasUnread = (evidence: Evidence, { id, sentAt, endedAt }: CallerRequest): boolean =>
  evidence.arrivalsOf(id).length === 0 && endedAt - sentAt <= evidence.run.bounds.lossSlackMs;

/** Describes how long after SIGTERM a request ended; empty if its gateway was not stopping. */
const describeStop = (evidence: Evidence, { gateway, endedAt }: CallerRequest): string => {
  const { graceMs } = evidence.run.bounds;
  const stop = evidence.observations.stops.find(
    (each) => each.gateway === gateway && each.at <= endedAt && endedAt <= each.at + graceMs,
  );
  return stop === undefined ? '' : `, ${Math.round(endedAt - stop.at)} ms after SIGTERM`;
};

const checkCutOff = (evidence: Evidence, request: CallerRequest): readonly Violation[] => {
  if (request.outcome.type !== 'cut' || wasUnread(evidence, request)) {
    return [];
  }
  const { id, gateway, path, sentAt, endedAt } = request;
  const isUndisturbed =
    hadOnlyPlannedWork(evidence, evidence.gatewaysOf(request), sentAt, endedAt) &&
    hadUndisturbedReplicas(evidence, request);
  const afterMs = Math.round(endedAt - sentAt);
  const text = `${path} was cut off ${afterMs} ms after it was sent${describeStop(evidence, request)}`;
  return isUndisturbed
    ? [{ promise: 'planned-stops', at: endedAt, gateway, requestId: id, text }]
    : [];
};

/** Finds stops that took too long, and requests that were cut off without an unplanned disturbance. */
export const checkPlannedStops = (evidence: Evidence): readonly Violation[] => [
  ...evidence.observations.stops.flatMap((stop) => [
    ...checkEnd(evidence, stop),
    ...checkReadiness(evidence, stop),
  ]),
  ...evidence.observations.requests.flatMap((request) => checkCutOff(evidence, request)),
];
