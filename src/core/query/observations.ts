/** Everything a coordinator has observed: of replicas, of services and of its own rows. */
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

/** What a coordinator keeps for a row. */
export interface RowObservation {
  readonly budget: ExtraLoadBudget;
  /** Latency of legs as a ratio to the mean of their service. */
  readonly ratios: LatencyHistogram;
  readonly overload: OverloadLimit;
}

/** Observations by what they are about. */
export interface Observations {
  /** By `partner|host:port`: what partners wait for at one back end differs with their shares. */
  readonly replicas: Map<string, ReplicaObservation>;
  /** By `partner/service`. */
  readonly services: Map<string, ServiceObservation>;
  /** By `partner/version`: when a snapshot was first seen. */
  readonly snapshots: Map<string, number>;
  /** By the key of the row. */
  readonly rows: Map<string, RowObservation>;
}

/** Creates observations of nothing. */
export const createObservations = (): Observations => ({
  replicas: new Map(),
  services: new Map(),
  snapshots: new Map(),
  rows: new Map(),
});

/** Names the back end of a replica over all partners. */
export const endpointOf = (status: ReplicaStatus): string => `${status.host}:${status.port}`;

/** Names what a partner's queries see of a back end. */
export const replicaKey = (partner: PartnerId, endpoint: string): string =>
  `${partner}|${endpoint}`;

/** What is observed of a service. */
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

/** What is observed of a replica; begins now if it is new. */
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

/** What is kept for a row. */
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

/** Forgets replicas that are published no more and have no attempt in flight. */
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
