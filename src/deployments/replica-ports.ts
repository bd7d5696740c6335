/** Fixed ports of the replicas of all deployments, so that separate processes use the same ones. */
import type { ReplicaId } from '../core/identifiers.js';
import { findDeployments } from './deployments.js';
import { placeReplicas } from './placement.js';

/** Default port of the first replica. */
export const DEFAULT_FIRST_REPLICA_PORT = 21_000;

/** Assigns consecutive ports from `firstPort` to the replicas of both deployments. */
export const replicaPorts = (firstPort: number): ((replica: ReplicaId) => number) => {
  const replicas = findDeployments('both').flatMap(placeReplicas);
  const ports = new Map(replicas.map(({ replica }, index) => [replica, firstPort + index]));
  return (replica) => ports.get(replica) ?? 0;
};
