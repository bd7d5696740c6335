/** Derives, for a row, the shards and replicas of each snapshot, and which snapshot to pin. */
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
 * Share of a service's replicas that must hold the newest snapshot before policy `covered` pins it
 * although an older one is held by more, once the newest has been there for `SETTLED_MS`.
 */
const MIN_REPLICA_SHARE = 0.5;
/** Time after which a roll-out is not expected to reach further replicas, in milliseconds. */
const SETTLED_MS = 30_000;

const WILDCARD = '*';

/** Whether `service` is named by one of a row's patterns. */
const matchesServices = (patterns: readonly string[], service: ServiceName): boolean =>
  patterns.some((pattern) =>
    pattern.endsWith(WILDCARD) ? service.startsWith(pattern.slice(0, -1)) : service === pattern,
  );

const serves = (status: ReplicaStatus, layout: SnapshotLayout): boolean =>
  status.lifecycle !== 'leaving' && status.snapshots.includes(layout.version);

/** Where the tables are derived from. */
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

/** The shards of `row` in `layout`, each with the replicas that hold the snapshot. */
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
 * The smallest share of a service's replicas, over all shards, that hold the snapshot: as published,
 * less those that have refused it.
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

/** When this node first saw a snapshot among those that may be served. */
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

/** The better held of two; the newer when equal. */
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
 * Picks the snapshot to pin. `newest` takes the newest of which anything is served. `covered` takes
 * the one that most replicas of every shard hold, the newer when equal: during a roll-out the newest
 * costs coverage and leaves no replica to hedge to. A roll-out that has settled short of some
 * replicas does not hold the newest back.
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
