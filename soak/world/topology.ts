/** Zones, services and replicas of the soak's deployment. */

/** Zones, all of one region. */
export const ZONES = ['north', 'middle', 'south'] as const;

/** Region of all zones. */
export const REGION = 'home';

/** Returns the zone of the gateway or replica with this number. */
export const zoneOf = (number: number): string => ZONES[number % ZONES.length] ?? ZONES[0];

const SHARDS = 5;

const shardsOf = (index: string): readonly string[] =>
  Array.from({ length: SHARDS }, (_, shard) => `${index}-${shard}`);

/** The two sets of shards between which gathers move. */
export const INDEXES: readonly (readonly string[])[] = [shardsOf('old'), shardsOf('new')];

/** Services that handle whole requests rather than parts of gathers. */
export const SINGLE_SERVICES = ['desk', 'archive', 'annex'] as const;

/** All services. */
export const SERVICES: readonly string[] = [...SINGLE_SERVICES, ...INDEXES.flat()];

/** Returns the initial number of replicas of a service. */
export const replicasOf = (service: string): number =>
  SINGLE_SERVICES.some((each) => each === service) ? 3 : 2;

/** Number of requests that a replica runs concurrently. */
export const REPLICA_SLOTS = 24;
