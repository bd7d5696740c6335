/** Checks, in runs without faults, that no class is served less often than a less urgent one. */
import type { CallerRequest } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import { hasTenants, holderOf } from './tenant-evidence.js';
import type { Violation } from './violation.js';

/** Share by which a class may be served less often than a less urgent one: both classes send some 100 requests. */
const MAX_SHORTFALL = 0.1;

/** Classes are compared over the periods of this length in which both sent requests, in milliseconds. */
const PERIOD_MS = 1_000;

/** Minimum number of requests of either class that are compared. */
const MIN_REQUESTS = 50;

interface ClassCount {
  sent: number;
  served: number;
}

/** Counts by priority, for one route and one period. */
type PeriodCounts = Map<number, ClassCount>;

const isServed = ({ outcome }: CallerRequest): boolean =>
  outcome.type === 'answered' && outcome.status >= 200 && outcome.status < 300;

/** Returns the priority of the tenant; undefined if it has none, has a quota, or does not hold the key throughout the run. */
const priorityOf = (evidence: Evidence, { apiKey }: CallerRequest): number | undefined => {
  const holders = evidence.observations.versions.map((version) => holderOf(version, apiKey));
  const isSteady = holders.every((each) => each !== undefined && each.limit === undefined);
  return isSteady ? holders[0]?.priority : undefined;
};

const isFaultless = ({ observations }: Evidence): boolean =>
  observations.disturbances.every(({ planned, scope }) => planned || scope.type === 'everything');

/** Counts the requests by route and period, and by priority in each. */
const countClasses = (evidence: Evidence): ReadonlyMap<string, readonly PeriodCounts[]> => {
  const routes = new Map<string, Map<number, PeriodCounts>>();
  for (const request of evidence.observations.requests) {
    const version = evidence.observations.versions[evidence.newestAt(request.sentAt)];
    const prefix = version && findRoute(version, request.path)?.pathPrefix;
    const priority = priorityOf(evidence, request);
    if (prefix === undefined || priority === undefined || request.outcome.type === 'left') {
      continue;
    }
    const periods = routes.get(prefix) ?? new Map<number, PeriodCounts>();
    routes.set(prefix, periods);
    const period = Math.floor(request.sentAt / PERIOD_MS);
    const counts: PeriodCounts = periods.get(period) ?? new Map<number, ClassCount>();
    periods.set(period, counts);
    const count = counts.get(priority) ?? { sent: 0, served: 0 };
    counts.set(priority, count);
    count.sent += 1;
    count.served += isServed(request) ? 1 : 0;
  }
  return new Map([...routes].map(([prefix, periods]) => [prefix, [...periods.values()]]));
};

/** Weighted mean over the periods of the served share of the urgent class less that of the other one. */
const compare = (periods: readonly PeriodCounts[], urgent: number, other: number) => {
  let requests = 0;
  let sum = 0;
  for (const counts of periods) {
    const [left, right] = [counts.get(urgent), counts.get(other)];
    if (left !== undefined && right !== undefined) {
      const weight = Math.min(left.sent, right.sent);
      requests += weight;
      sum += weight * (left.served / left.sent - right.served / right.sent);
    }
  }
  return { requests, lead: sum / requests };
};

const checkRoute = (
  evidence: Evidence,
  prefix: string,
  periods: readonly PeriodCounts[],
): readonly Violation[] => {
  const priorities = [...new Set(periods.flatMap((counts) => [...counts.keys()]))].sort(
    (left, right) => left - right,
  );
  return priorities.flatMap((urgent, index) =>
    priorities.slice(index + 1).flatMap((other): readonly Violation[] => {
      const { requests, lead } = compare(periods, urgent, other);
      if (requests < MIN_REQUESTS) {
        return [];
      }
      evidence.recordCases('class-order', requests);
      const by = Math.round(-lead * 1_000) / 10;
      const text = `${prefix}: priority ${urgent} is served ${by}% less often than priority ${other} (${requests} requests)`;
      const at = evidence.observations.faultsEndedAt ?? 0;
      return lead < -MAX_SHORTFALL ? [{ promise: 'class-order', at, text }] : [];
    }),
  );
};

/** Finds routes on which a class is served less often than a less urgent one. */
export const checkClassOrder = (evidence: Evidence): readonly Violation[] =>
  hasTenants(evidence) && isFaultless(evidence)
    ? [...countClasses(evidence)].flatMap(([prefix, periods]) =>
        checkRoute(evidence, prefix, periods),
      )
    : [];
