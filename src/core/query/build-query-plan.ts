/** Builds the plan of a query from a cache that is derived from the configuration in force. */
import type { RouteRow } from '../../table/route-row.js';
import { type ConfigurationInForce, routeRowKey } from '../configuration/state.js';
import { hash32 } from '../hash.js';
import type { CoreState } from '../state.js';
import { endpointOf, removeUnpublishedReplicas, replicaKey } from './observations.js';
import type { QueryPlan, SnapshotTargets } from './query-plan.js';
import type { QueryRequest } from './query-request.js';
import { SNAPSHOT_REFUSAL_VALID_MS } from './replica-observation.js';
import { selectSnapshot } from './snapshot-targets.js';

/** Seed of the hash that maps keys to shards; differs from the seed of the hash that ranks nodes. */
const KEY_HASH_SEED = 7;

/**
 * Lifetime of cached plans, in milliseconds. A plan depends on which snapshots replicas have refused,
 * and a refusal is valid for a limited time.
 */
const PLAN_VALID_MS = SNAPSHOT_REFUSAL_VALID_MS / 2;

/** Invalidates the cached plans after a replica has refused a snapshot. */
export const invalidatePlans = (state: CoreState): void => {
  state.query.planCache.validUntil = 0;
};

const listPublishedReplicas = (inForce: ConfigurationInForce): ReadonlySet<string> => {
  const published = new Set<string>();
  for (const [partner, services] of inForce.services) {
    for (const service of services.values()) {
      service.replicas.forEach((status) => published.add(replicaKey(partner, endpointOf(status))));
    }
  }
  return published;
};

/** Returns the snapshot pinned for new queries of `row` with its shards; rebuilds an outdated cache. */
const findTargets = (state: CoreState, row: RouteRow, at: number): SnapshotTargets | undefined => {
  const { planCache, observations } = state.query;
  const { inForce } = state.configuration;
  if (planCache.inForce !== inForce) {
    planCache.inForce = inForce;
    planCache.validUntil = 0;
    removeUnpublishedReplicas(observations, listPublishedReplicas(inForce));
  }
  if (planCache.validUntil <= at) {
    planCache.targets.clear();
    planCache.validUntil = at + PLAN_VALID_MS;
  }
  const key = routeRowKey(row.partner, row.route, row.kind);
  if (!planCache.targets.has(key)) {
    planCache.targets.set(key, selectSnapshot({ inForce, observations, at }, row));
  }
  return planCache.targets.get(key);
};

/** Pins a snapshot and lists the shards that the query needs; refuses if there is no snapshot or key. */
export const buildQueryPlan = (
  state: CoreState,
  row: RouteRow,
  query: QueryRequest,
  at: number,
): QueryPlan => {
  const targets = findTargets(state, row, at);
  if (targets === undefined) {
    return { type: 'refuse', reason: 'no-snapshot' };
  }
  const { snapshot, shards } = targets;
  if (row.fanOut === 'all') {
    return { type: 'scatter', snapshot, shards };
  }
  if (query.key === undefined) {
    return { type: 'refuse', reason: 'key-missing' };
  }
  const index = hash32(query.key, KEY_HASH_SEED) % shards.length;
  return { type: 'scatter', snapshot, shards: shards.slice(index, index + 1) };
};
