/** Derives the shards and replicas of each snapshot for a row, and selects the snapshot to pin. */
import type {
  ReplicaStatus,
  SnapshotLayout,
  SnapshotVersion,
} from '../../catalog/partner-index.js';
import type { RouteRow } from '../../table/route-row.js';
import type { ConfigurationInForce } from '../configuration/state.js';
import type { ServiceName } from '../identifiers.js';
import {
  endpointOf,
  type Observations,
  getReplicaObservation,
  getServiceObservation,
  replicaKey,
} from './observations.js';
import type { ReplicaTarget, ShardTarget, SnapshotTargets } from './query-plan.js';
import { hasRefusedSnapshot, type ServiceObservation } from './replica-observation.js';

/**
 * Minimum share of each service's replicas that must hold the newest snapshot for policy `covered` to
 * pin it while more replicas hold an older one; applies once the newest is `SETTLED_MS` old.
 */
const MIN_REPLICA_SHARE = 0.5;
/** Time after which a roll-out is not expected to reach more replicas, in milliseconds. */
const SETTLED_MS = 30_000;

const WILDCARD = '*';

/** Whether `service` matches one of a row's patterns. */
const matchesServices = (patterns: readonly string[], service: ServiceName): boolean =>
  patterns.some((pattern) =>
    pattern.endsWith(WILDCARD) ? service.startsWith(pattern.slice(0, -1)) : service === pattern,
  );

const serves = (status: ReplicaStatus, layout: SnapshotLayout): boolean =>
  status.lifecycle !== 'leaving' && status.snapshots.includes(layout.version);

/** Inputs for the targets: the configuration in force, observations and the current time. */
export interface TargetSources {
  readonly inForce: ConfigurationInForce;
  readonly observations: Observations;
  readonly at: number;
}

interface ServiceTargets {
  readonly observed: ServiceObservation;
  readonly replicas: readonly ReplicaTarget[];
}

const deriveService = (
  sources: TargetSources,
  row: RouteRow,
  service: ServiceName,
  layout: SnapshotLayout,
): ServiceTargets => {
  const { observations, at } = sources;
  const observed = getServiceObservation(observations, row.partner, service);
  const status = sources.inForce.services.get(row.partner)?.get(service);
  const serving = status?.replicas.filter((replica) => serves(replica, layout)) ?? [];
  const replicas = serving.map((replica) => {
    const endpoint = endpointOf(replica);
    const seen = getReplicaObservation(
      observations,
      replicaKey(row.partner, endpoint),
      observed,
      at,
    );
    return { status: replica, endpoint, snapshot: layout.version, observed: seen };
  });
  return { observed, replicas };
};

/** Returns the shards of `row` in `layout`, each with the replicas that hold the snapshot. */
const deriveSnapshotTargets = (
  sources: TargetSources,
  row: RouteRow,
  layout: SnapshotLayout,
): SnapshotTargets => {
  const byService = new Map<ServiceName, ServiceTargets>();
  const shards: ShardTarget[] = [];
  for (const { shard, service } of layout.shards) {
    if (!matchesServices(row.services, service)) {
      continue;
    }
    const targets = byService.get(service) ?? deriveService(sources, row, service, layout);
    byService.set(service, targets);
    shards.push({ shard, service, ...targets });
  }
  return { snapshot: layout.version, shards };
};

/**
 * Returns the smallest share, over all shards, of a service's replicas that hold the snapshot. Replicas
 * count as published, except those that have refused the snapshot.
 */
const measureReplicaShare = (
  sources: TargetSources,
  row: RouteRow,
  targets: SnapshotTargets,
): number => {
  const services = sources.inForce.services.get(row.partner);
  let smallest = 1;
  for (const { service, replicas } of targets.shards) {
    const known = services?.get(service)?.replicas.filter((r) => r.lifecycle !== 'leaving') ?? [];
    const holding = replicas.filter(
      ({ observed }) => !hasRefusedSnapshot(observed, targets.snapshot, sources.at),
    );
    smallest = Math.min(smallest, holding.length / Math.max(1, known.length));
  }
  return smallest;
};

const shareServed = (targets: SnapshotTargets): number =>
  targets.shards.filter((target) => target.replicas.length > 0).length / targets.shards.length;

/** Returns when this node first saw a snapshot that may be served. */
const firstSeenAt = (sources: TargetSources, row: RouteRow, snapshot: SnapshotVersion): number => {
  const { snapshots } = sources.observations;
  const key = `${row.partner}/${snapshot}`;
  const known = snapshots.get(key);
  if (known !== undefined) {
    return known;
  }
  snapshots.set(key, sources.at);
  return sources.at;
};

interface Candidate {
  readonly targets: SnapshotTargets;
  readonly replicaShare: number;
  readonly servedShare: number;
}

/** Returns the snapshot held by the larger share of replicas; the newer one if both are equal. */
const preferWidelyHeld = (a: Candidate, b: Candidate): Candidate => {
  if (a.replicaShare !== b.replicaShare) {
    return a.replicaShare > b.replicaShare ? a : b;
  }
  if (a.servedShare !== b.servedShare) {
    return a.servedShare > b.servedShare ? a : b;
  }
  return a.targets.snapshot > b.targets.snapshot ? a : b;
};

/**
 * Selects the snapshot to pin. Policy `newest` selects the newest snapshot of which any shard is
 * served. Policy `covered` selects the one that the largest share of every service's replicas holds,
 * the newer one if equal: during a roll-out the newest costs coverage and leaves no replica for hedges.
 * A roll-out that has settled without some replicas does not exclude the newest.
 */
export const selectSnapshot = (
  sources: TargetSources,
  row: RouteRow,
): SnapshotTargets | undefined => {
  const candidates = (sources.inForce.layouts.get(row.partner)?.snapshots ?? [])
    .map((layout) => deriveSnapshotTargets(sources, row, layout))
    .filter((targets) => targets.shards.length > 0)
    .map((targets) => ({
      targets,
      replicaShare: measureReplicaShare(sources, row, targets),
      servedShare: shareServed(targets),
    }))
    .filter((candidate) => candidate.servedShare > 0)
    .sort((a, b) => b.targets.snapshot - a.targets.snapshot);
  const [newest] = candidates;
  if (newest === undefined || row.snapshotPolicy === 'newest') {
    return newest?.targets;
  }
  const since = firstSeenAt(sources, row, newest.targets.snapshot);
  if (sources.at - since >= SETTLED_MS && newest.replicaShare >= MIN_REPLICA_SHARE) {
    return newest.targets;
  }
  return candidates.reduce(preferWidelyHeld).targets;
};
