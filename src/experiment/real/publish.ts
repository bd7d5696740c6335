/** Publishes changes of replicas and layouts at the platform while a scenario runs on real sockets. */
import type { SnapshotLayout } from '../../catalog/partner-index.js';
import type { LocalTier } from '../../demo/local-tier.js';
import type { Deployment } from '../../deployments/deployment.js';
import type { FleetReplica } from '../../standins/replica-fleet.js';

/** Publishes the current lifecycle and snapshots of a replica. */
export const publishStatus = ({ platform }: LocalTier, { placed, server }: FleetReplica): void => {
  const name = `status/${placed.partner}/${placed.service}`;
  const content = platform.model.read(name)?.content;
  if (content?.type !== 'status') {
    return;
  }
  const { lifecycle, snapshots } = server.model.currentFaults;
  const replicas = content.status.replicas.map((status) =>
    status.replica === placed.replica
      ? { ...status, lifecycle, snapshots: snapshots.map(({ version }) => version) }
      : status,
  );
  platform.publish(name, { type: 'status', status: { ...content.status, replicas } });
};

/** Returns the snapshots that the platform publishes for a partner, oldest first. */
export const publishedSnapshots = (
  { platform }: LocalTier,
  { partner }: Deployment,
): readonly SnapshotLayout[] => {
  const content = platform.model.read(`layout/${partner}`)?.content;
  return content?.type === 'layout' ? content.layout.snapshots : [];
};

/** Publishes the snapshots of a partner. */
export const publishSnapshots = (
  { platform }: LocalTier,
  { partner }: Deployment,
  snapshots: readonly SnapshotLayout[],
): void => {
  platform.publish(`layout/${partner}`, { type: 'layout', layout: { partner, snapshots } });
};
