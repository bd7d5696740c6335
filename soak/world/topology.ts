/** Zones, services and replicas of the soak's deployment. */

/** Zones. */
export const ZONES = ['north', 'middle', 'south'] as const;

/** Region of all zones, unless each is a region of its own. */
const REGION = 'home';

/** Returns the region of each zone. */
export const zoneRegionsOf = (hasRegionPerZone: boolean): Readonly<Record<string, string>> =>
  Object.fromEntries(ZONES.map((zone) => [zone, hasRegionPerZone ? zone : REGION]));

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

/** Whether a service is a shard of an index. */
export const isShard = (service: string): boolean =>
  !SINGLE_SERVICES.some((each) => each === service);

/** Returns the initial number of replicas of a service. */
export const replicasOf = (service: string): number => (isShard(service) ? 2 : 3);

/** Number of requests that a replica runs concurrently, and that of the shards in runs in which they lack room. */
export const REPLICA_SLOTS = 24;
export const FEW_SLOTS = 12;
