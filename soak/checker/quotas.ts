/** Checks that the requests of each tenant that ran stay within its quota in every window. */
import type { VersionTenant } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import { hasTenants } from './tenant-evidence.js';
import type { Violation } from './violation.js';

/** Returns the start times of the requests that replicas ran for each tenant; repeats and parts count once. */
const findRunTimes = (evidence: Evidence): ReadonlyMap<string, readonly number[]> => {
  const times = new Map<string, number[]>();
  for (const { id } of evidence.observations.requests) {
    const run = evidence.runsOf(id)[0];
    if (run?.tenant !== undefined) {
      times.set(run.tenant, times.get(run.tenant) ?? []);
      times.get(run.tenant)?.push(run.at);
    }
  }
  times.forEach((each) => each.sort((left, right) => left - right));
  return times;
};

type Limit = VersionTenant['limit'];

/**
 * Returns the limits that may be in force in a window. A lowered limit binds in windows that begin once all gateways had
 * time to learn of it, at gateways out of contact, too.
 */
const limitsBetween = (
  evidence: Evidence,
  name: string,
  from: number,
  to: number,
): readonly Limit[] =>
  evidence.observations.versions
    .slice(evidence.oldestAt(from), evidence.newestAt(to) + 1)
    .map(({ tenants }) => tenants?.find((each) => each.name === name)?.limit);

/** Returns the largest number of requests that the limits allow in a window; infinite without a limit. */
const allowedBy = (evidence: Evidence, limits: readonly Limit[]): number => {
  const { quotaWindowMs = 0, quotaOvershoot = 0, quotaSlack = 0 } = evidence.run.bounds;
  const allowed = limits.map((limit) =>
    limit === undefined
      ? Number.POSITIVE_INFINITY
      : ((limit.ratePerSecond * quotaWindowMs) / 1_000 + limit.burst) * (1 + quotaOvershoot) +
        quotaSlack,
  );
  return Math.max(...allowed);
};

const checkTenant = (
  evidence: Evidence,
  name: string,
  times: readonly number[],
): readonly Violation[] => {
  const { quotaWindowMs = 0 } = evidence.run.bounds;
  let first = 0;
  return times.flatMap((end, index): readonly Violation[] => {
    while ((times[first] ?? end) <= end - quotaWindowMs) {
      first += 1;
    }
    const from = end - quotaWindowMs;
    const allowed = allowedBy(evidence, limitsBetween(evidence, name, from, end));
    // While the soak process stalls, arrivals are recorded late and close together.
    const isJudged = Number.isFinite(allowed) && evidence.isUndisturbed(() => false, from, end);
    const count = index - first + 1;
    evidence.recordCases('quotas', isJudged ? 1 : 0);
    const text = `tenant ${name} had ${count} requests run in a window that allows ${Math.floor(allowed)}`;
    return isJudged && count > allowed ? [{ promise: 'quotas', at: end, text }] : [];
  });
};

/** Finds windows in which more requests of a tenant ran, over all gateways, than its quota allows. */
export const checkQuotas = (evidence: Evidence): readonly Violation[] =>
  evidence.run.bounds.quotaWindowMs === undefined || !hasTenants(evidence)
    ? []
    : [...findRunTimes(evidence)].flatMap(([name, times]) => checkTenant(evidence, name, times));
