/** Lookups of keys and tenants in the versions of the configuration. */
import type { Arrival, CallerRequest, Version, VersionTenant } from '../model/observations.js';
import type { Evidence } from './evidence.js';

/** Returns the tenant of a version that holds the key. */
export const holderOf = (
  { tenants }: Version,
  apiKey: string | undefined,
): VersionTenant | undefined =>
  apiKey === undefined ? undefined : tenants?.find(({ keys }) => keys.includes(apiKey));

/** Whether the configuration has tenants throughout the run. */
export const hasTenants = ({ observations }: Evidence): boolean =>
  observations.versions.length > 0 &&
  observations.versions.every(({ tenants }) => tenants !== undefined);

/** Returns the versions by which a gateway may have identified the caller of a request that ended or arrived at `at`. */
export const versionsInForce = (
  evidence: Evidence,
  { gateway, sentAt }: CallerRequest,
  at: number,
): readonly Version[] => {
  const oldest = evidence.isInContact([gateway], sentAt, at) ? evidence.oldestAt(sentAt) : 0;
  return evidence.observations.versions.slice(oldest, evidence.newestAt(at) + 1);
};

/** An arrival along with its request. */
export interface KeyedArrival {
  readonly request: CallerRequest;
  readonly arrival: Arrival;
}

/** Returns all arrivals whose requests are known. */
export const keyedArrivals = (evidence: Evidence): readonly KeyedArrival[] =>
  evidence.observations.arrivals.flatMap((arrival) => {
    const request = evidence.requests.get(arrival.requestId);
    return request === undefined ? [] : [{ request, arrival }];
  });
