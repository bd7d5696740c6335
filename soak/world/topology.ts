/** Zones, services and replicas of the soak's deployment. */

/** Zones, all of one region. */
export const ZONES = ['north', 'middle', 'south'] as const;

/** Region of all zones. */
export const REGION = 'home';

/** The zone in which the gateway or replica with a number stands. */
export const zoneOf = (number: number): string => ZONES[number % ZONES.length] ?? ZONES[0];

const SHARDS = 5;

const shardsOf = (index: string): readonly string[] =>
  Array.from({ length: SHARDS }, (_, shard) => `${index}-${shard}`);

/** The two sets of shards between which the index moves. */
export const INDEXES: readonly (readonly string[])[] = [shardsOf('old'), shardsOf('new')];

/** Services that take whole requests. */
export const SINGLE_SERVICES = ['desk', 'archive', 'annex'] as const;

/** All services. */
export const SERVICES: readonly string[] = [...SINGLE_SERVICES, ...INDEXES.flat()];

/** Replicas of a service at the start. */
export const replicasOf = (service: string): number =>
  SINGLE_SERVICES.some((each) => each === service) ? 3 : 2;

/** Requests that a replica works on at once. */
export const REPLICA_SLOTS = 24;
