/** All observations of a coordinator: replicas, services, snapshots and rows. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { RouteRow } from '../../table/route-row.js';
import { routeRowKey } from '../configuration/state.js';
import type { PartnerId, ServiceName } from '../identifiers.js';
import { createExtraLoadBudget, type ExtraLoadBudget } from './extra-load-budget.js';
import { createLatencyHistogram, type LatencyHistogram } from './latency-histogram.js';
import { createOverloadLimit, type OverloadLimit } from './overload-limit.js';
import {
  createReplicaObservation,
  createServiceObservation,
  type ReplicaObservation,
  type ServiceObservation,
} from './replica-observation.js';

/** Observations and limits of one row at this coordinator. */
export interface RowObservation {
  readonly budget: ExtraLoadBudget;
  /** Latency of legs as a ratio to the mean latency of their service. */
  readonly ratios: LatencyHistogram;
  readonly overload: OverloadLimit;
}

/** Observations, indexed by their subject. */
export interface Observations {
  /** By `partner|host:port`, as the waits of partners at one back end differ with their shares. */
  readonly replicas: Map<string, ReplicaObservation>;
  /** By `partner/service`. */
  readonly services: Map<string, ServiceObservation>;
  /** When a snapshot was first seen, by `partner/version`. */
  readonly snapshots: Map<string, number>;
  /** By the key of the row. */
  readonly rows: Map<string, RowObservation>;
}

/** Creates empty observations. */
export const createObservations = (): Observations => ({
  replicas: new Map(),
  services: new Map(),
  snapshots: new Map(),
  rows: new Map(),
});

/** Returns the key of a replica's back end, the same for all partners. */
export const endpointOf = (status: ReplicaStatus): string => `${status.host}:${status.port}`;

/** Returns the key of a partner's observations of a back end. */
export const replicaKey = (partner: PartnerId, endpoint: string): string =>
  `${partner}|${endpoint}`;

/** Returns the observations of a service; creates them if there are none. */
export const getServiceObservation = (
  observations: Observations,
  partner: PartnerId,
  service: ServiceName,
): ServiceObservation => {
  const key = `${partner}/${service}`;
  const known = observations.services.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = createServiceObservation();
  observations.services.set(key, created);
  return created;
};

/** Returns the observations of a replica; creates them, starting at `at`, if there are none. */
export const getReplicaObservation = (
  observations: Observations,
  key: string,
  service: ServiceObservation,
  at: number,
): ReplicaObservation => {
  const known = observations.replicas.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = createReplicaObservation(service, at);
  observations.replicas.set(key, created);
  return created;
};

/** Returns the observations of a row; creates them if there are none. */
export const getRowObservation = (observations: Observations, row: RouteRow): RowObservation => {
  const key = routeRowKey(row.partner, row.route, row.kind);
  const known = observations.rows.get(key);
  if (known !== undefined) {
    return known;
  }
  const budget = createExtraLoadBudget(row.extraLoadLimit);
  const created: RowObservation = {
    budget,
    ratios: createLatencyHistogram(),
    overload: createOverloadLimit(),
  };
  observations.rows.set(key, created);
  return created;
};

/** Removes the observations of replicas that are no longer published and have no attempt in flight. */
export const removeUnpublishedReplicas = (
  observations: Observations,
  published: ReadonlySet<string>,
): void => {
  for (const [key, observed] of observations.replicas) {
    if (observed.inFlight === 0 && !published.has(key)) {
      observations.replicas.delete(key);
    }
  }
};
