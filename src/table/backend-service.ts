/** Back-end services of a partner, as the checks of a sheet and the capacity plans use them. */
import type { ServiceName } from '../core/identifiers.js';
import type { PartnerLayout, ServiceStatus } from '../catalog/partner-index.js';

/** Summary of a back-end service. */
export interface BackendService {
  readonly service: string;
  /** Total slots of all replicas that are not leaving. */
  readonly slots: number;
  /** Number of shards, which is the number of legs of a query to all shards; absent for 1. */
  readonly shards?: number;
  /** Mean time of a leg, measured by a node, in milliseconds; absent without enough samples. */
  readonly meanLegMs?: number;
}

/** Whether a row's service entry (a name, or a prefix ending in `*`) matches `service`. */
export const matchesService = (entry: string, service: string): boolean =>
  entry.endsWith('*') ? service.startsWith(entry.slice(0, -1)) : entry === service;

/** Number of shards of each service in the newest snapshot. */
const countShards = (layout: PartnerLayout | undefined): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { service } of layout?.snapshots.at(-1)?.shards ?? []) {
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  return counts;
};

const countSlots = (status: ServiceStatus): number =>
  status.replicas
    .filter((replica) => replica.lifecycle !== 'leaving')
    .reduce((sum, replica) => sum + replica.slots, 0);

/**
 * Summarizes the service statuses and the layout that the platform publishes for a partner.
 *
 * @param meanLegMs - returns the mean time of a leg of a service in milliseconds, or undefined without
 *   enough samples
 */
export const listBackendServices = (
  statuses: Iterable<ServiceStatus>,
  layout?: PartnerLayout,
  meanLegMs: (service: ServiceName) => number | undefined = () => undefined,
): BackendService[] => {
  const shards = countShards(layout);
  return [...statuses].map((status) => {
    const mean = meanLegMs(status.service);
    return {
      service: status.service,
      slots: countSlots(status),
      shards: shards.get(status.service) ?? 1,
      ...(mean === undefined ? {} : { meanLegMs: mean }),
    };
  });
};
