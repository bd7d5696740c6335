/** Roll-outs of index snapshots in a simulated tier: adding, loading and retiring them. */
import type { ReplicaStatus, SnapshotLayout } from '../../catalog/partner-index.js';
import type { Deployment } from '../../deployments/deployment.js';
import { buildLayout } from '../../deployments/initial-objects.js';
import type { HeldSnapshot } from '../../standins/replica-model/replica-faults.js';
import type { SimulatedReplica } from '../simulated-replica.js';
import type { Simulation } from '../simulation.js';

const readSnapshots = (simulation: Simulation, partner: string): readonly SnapshotLayout[] => {
  const content = simulation.store.model.read(`layout/${partner}`)?.content;
  return content?.type === 'layout' ? content.layout.snapshots : [];
};

const putSnapshots = (
  simulation: Simulation,
  { partner }: Deployment,
  snapshots: readonly SnapshotLayout[],
): void => {
  simulation.store.put(`layout/${partner}`, { type: 'layout', layout: { partner, snapshots } });
};

/** Adds a snapshot to the layout, with `addedShards` more shards per service than initially. */
export const addSnapshot = (
  simulation: Simulation,
  deployment: Deployment,
  addedShards: number,
): void => {
  const snapshots = readSnapshots(simulation, deployment.partner);
  const newest = snapshots.at(-1)?.version ?? 0;
  putSnapshots(simulation, deployment, [
    ...snapshots,
    buildLayout(deployment, newest + 1, addedShards),
  ]);
};

/** Publishes the current lifecycle and snapshots of a replica in its service's status. */
export const publishStatus = (simulation: Simulation, replica: SimulatedReplica): void => {
  const { partner, service, status } = replica.options;
  const name = `status/${partner}/${service}`;
  const content = simulation.store.model.read(name)?.content;
  if (content?.type !== 'status') {
    return;
  }
  const published: ReplicaStatus = {
    ...status,
    lifecycle: replica.faults.lifecycle,
    snapshots: replica.faults.snapshots.map(({ version }) => version),
  };
  const replicas = content.status.replicas.map((each) =>
    each.replica === status.replica ? published : each,
  );
  simulation.store.put(name, { type: 'status', status: { ...content.status, replicas } });
};

/** Loads all snapshots of the partner's layout into a replica and publishes its status. */
export const loadSnapshots = (simulation: Simulation, replica: SimulatedReplica): void => {
  const { partner, service } = replica.options;
  const snapshots: HeldSnapshot[] = readSnapshots(simulation, partner).map((layout) => ({
    version: layout.version,
    shardCount: layout.shards.filter((place) => place.service === service).length,
  }));
  replica.setFaults({ snapshots });
  publishStatus(simulation, replica);
};

/** Removes the oldest snapshot from the layout and all replicas, unless it is the only one. */
export const retireSnapshot = (simulation: Simulation, deployment: Deployment): void => {
  const [oldest, ...kept] = readSnapshots(simulation, deployment.partner);
  if (oldest === undefined || kept.length === 0) {
    return;
  }
  putSnapshots(simulation, deployment, kept);
  for (const replica of simulation.replicas.values()) {
    if (replica.options.partner === deployment.partner) {
      const { snapshots } = replica.faults;
      replica.setFaults({
        snapshots: snapshots.filter(({ version }) => version !== oldest.version),
      });
    }
  }
};

/** Adds a snapshot, loads it into the replicas one by one over `overMs`, and removes the oldest. */
export const rollOut = (
  simulation: Simulation,
  deployment: Deployment,
  { addedShards, overMs }: { readonly addedShards: number; readonly overMs: number },
): void => {
  addSnapshot(simulation, deployment, addedShards);
  const replicas = [...simulation.replicas.values()].filter(
    ({ options }) => options.partner === deployment.partner,
  );
  replicas.forEach((replica, index) => {
    simulation.after((overMs * index) / replicas.length, () => loadSnapshots(simulation, replica));
  });
  simulation.after(overMs, () => retireSnapshot(simulation, deployment));
};

/** Makes a replica leave; the platform publishes this `publishAfterMs` later. */
export const drainReplica = (
  simulation: Simulation,
  replica: SimulatedReplica,
  publishAfterMs: number,
): void => {
  replica.setFaults({ lifecycle: 'leaving' });
  simulation.after(publishAfterMs, () => publishStatus(simulation, replica));
};
