/** Checks that repeats at each service stay within the retry budget in every window. */
import type { GatewayBounds } from '../../src/gateway/settings.js';
import type { Arrival, CallerRequest } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

/** The bounds of retry budgets. */
type RetryBounds = Pick<GatewayBounds, 'retryRatio' | 'retryWindowMs' | 'retrySlack'>;

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
export const findRepeatTimes = (
  arrivals: readonly Pick<Arrival, 'requestId' | 'at'>[],
): readonly number[] => {
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

/** A window with more repeats than its requests allow; times in milliseconds. */
export interface BudgetOverrun {
  readonly endsAt: number;
  readonly repeats: number;
  /** The requests of the window, of the one half a window before, or of the one before, whichever are most. */
  readonly requests: number;
}

/** Finds the windows of one service in which the repeats exceed the budget, from the times of both. */
export const findBudgetOverruns = (
  repeats: readonly number[],
  requests: readonly number[],
  { retryRatio, retryWindowMs, retrySlack }: RetryBounds,
): readonly BudgetOverrun[] =>
  repeats.flatMap((endsAt): readonly BudgetOverrun[] => {
    const counts = REQUEST_WINDOWS.map((back) => {
      const to = endsAt - back * retryWindowMs;
      return countBetween(requests, to - retryWindowMs, to);
    });
    const overrun = {
      endsAt,
      repeats: countBetween(repeats, endsAt - retryWindowMs, endsAt),
      requests: Math.max(...counts),
    };
    return overrun.repeats > retryRatio * overrun.requests + retrySlack ? [overrun] : [];
  });

const checkService = (
  evidence: Evidence,
  service: string,
  arrivals: readonly Arrival[],
): readonly Violation[] => {
  const extras = findRepeatTimes(arrivals);
  evidence.recordCases('retry-budget', extras.length);
  const requests = evidence.observations.requests
    .filter((request) => targetsService(evidence, service, request))
    .map(({ sentAt }) => sentAt);
  return findBudgetOverruns(extras, requests, evidence.run.bounds).map(
    ({ endsAt, repeats, requests: most }): Violation => ({
      promise: 'retry-budget',
      at: endsAt,
      text: `${service} received ${repeats} repeats in a window with ${most} requests`,
    }),
  );
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
