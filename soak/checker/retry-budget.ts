/** Checks that repeats at each service stay within the retry budget in every window. */
import type { Arrival, CallerRequest } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

/** Offsets of the windows whose requests count, in windows before the one that is checked. */
const REQUEST_WINDOWS: readonly number[] = [0, 0.5, 1];

/** Whether a request was routed to the service by the newest version when it was sent, or by the previous one. */
const targetsService = (
  evidence: Evidence,
  service: string,
  { path, sentAt }: CallerRequest,
): boolean => {
  const newest = evidence.newestAt(sentAt);
  return (
    evidence.versionsWhere(
      newest - 1,
      newest,
      (version) => findRoute(version, path)?.services.includes(service) ?? false,
    ).length > 0
  );
};

/** Returns the times of arrivals beyond the first of each request. */
const findRepeatTimes = (arrivals: readonly Arrival[]): readonly number[] => {
  const seen = new Set<string>();
  return arrivals.flatMap(({ requestId, at }) => {
    if (seen.has(requestId)) {
      return [at];
    }
    seen.add(requestId);
    return [];
  });
};

/** Counts the `times` after `from` and up to `to`. */
const countBetween = (times: readonly number[], from: number, to: number): number =>
  times.filter((time) => time > from && time <= to).length;

const checkService = (
  evidence: Evidence,
  service: string,
  arrivals: readonly Arrival[],
): readonly Violation[] => {
  const { retryRatio, retryWindowMs, retrySlack } = evidence.run.bounds;
  const extras = findRepeatTimes(arrivals);
  evidence.recordCases('retry-budget', extras.length);
  const requests = evidence.observations.requests
    .filter((request) => targetsService(evidence, service, request))
    .map(({ sentAt }) => sentAt);
  return extras.flatMap((end): readonly Violation[] => {
    const repeats = countBetween(extras, end - retryWindowMs, end);
    const counts = REQUEST_WINDOWS.map((back) =>
      countBetween(requests, end - (1 + back) * retryWindowMs, end - back * retryWindowMs),
    );
    const most = Math.max(...counts);
    const text = `${service} received ${repeats} repeats in a window with ${most} requests`;
    return repeats > retryRatio * most + retrySlack
      ? [{ promise: 'retry-budget', at: end, text }]
      : [];
  });
};

/** Finds windows with more repeats than the budget allows. */
export const checkRetryBudget = (evidence: Evidence): readonly Violation[] => {
  const byService = new Map<string, Arrival[]>();
  for (const arrival of evidence.observations.arrivals) {
    byService.set(arrival.service, byService.get(arrival.service) ?? []);
    byService.get(arrival.service)?.push(arrival);
  }
  return [...byService].flatMap(([service, arrivals]) => checkService(evidence, service, arrivals));
};
