/** Looks up the published status of a replica. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { PartnerId, ReplicaId } from '../identifiers.js';
import type { CoreState } from '../state.js';

const rebuildIndex = (state: CoreState): void => {
  const { index } = state.replica;
  index.inForce = state.configuration.inForce;
  index.statuses.clear();
  for (const [partner, services] of state.configuration.inForce.services) {
    const statuses = new Map<ReplicaId, ReplicaStatus>();
    for (const service of services.values()) {
      for (const status of service.replicas) {
        statuses.set(status.replica, status);
      }
    }
    index.statuses.set(partner, statuses);
  }
};

/** Returns the status of a replica in the configuration in force; undefined if it is unknown. */
export const findReplicaStatus = (
  state: CoreState,
  partner: PartnerId,
  replica: ReplicaId,
): ReplicaStatus | undefined => {
  if (state.replica.index.inForce !== state.configuration.inForce) {
    rebuildIndex(state);
  }
  return state.replica.index.statuses.get(partner)?.get(replica);
};
