/** Names of the services, shards and replicas of a deployment, and the replicas' zones. */
import {
  identifier,
  type ReplicaId,
  type ServiceName,
  type ShardId,
  type ZoneName,
} from '../core/identifiers.js';
import type { Deployment, PlacedReplica, ServiceGroup } from './deployment.js';

const indexesBelow = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => index);

/** Returns the names of the services of a group. */
export const servicesOf = (group: ServiceGroup): ServiceName[] =>
  group.services === 1
    ? [identifier<ServiceName>(group.name)]
    : indexesBelow(group.services).map((index) =>
        identifier<ServiceName>(`${group.name}-${index + 1}`),
      );

/** Returns the names of the first `count` shards of a service, e.g. `booking-desk-3#0`. */
export const shardsOf = (service: ServiceName, count: number): ShardId[] =>
  indexesBelow(count).map((index) => identifier<ShardId>(`${service}#${index}`));

const zoneAt = (deployment: Deployment, group: ServiceGroup, index: number): ZoneName => {
  const zones = group.zones ?? deployment.zones;
  const zone = zones[index % zones.length];
  if (zone === undefined) {
    throw new Error(`deployment ${deployment.partner} has no zones`);
  }
  return zone;
};

const placeService = (
  deployment: Deployment,
  group: ServiceGroup,
  service: ServiceName,
  firstZone: number,
): PlacedReplica[] =>
  indexesBelow(group.replicasPerService).map((index) => ({
    partner: deployment.partner,
    service,
    replica: identifier<ReplicaId>(`${service}-r${index + 1}`),
    zone: zoneAt(deployment, group, firstZone + index),
    group,
  }));

/**
 * Places all replicas of a deployment. The replicas of a service are in consecutive zones, and each
 * service starts one zone after the previous one, so that the zones are filled evenly.
 */
export const placeReplicas = (deployment: Deployment): PlacedReplica[] =>
  deployment.groups.flatMap((group) =>
    servicesOf(group).flatMap((service, index) => placeService(deployment, group, service, index)),
  );
