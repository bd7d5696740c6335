/**
 * Divides the slots and connections of a replica among its feeders. The sum of the parts does not
 * exceed the whole, unless there are more feeders than slots or connections.
 */

/** Share of connections reserved for health checks and for changes of feeders. */
const CONNECTION_RESERVE_SHARE = 0.1;

/** Returns the number of slots of a replica that each of its feeders may use; at least 1. */
export const slotsOfFeeder = (slots: number, feeders: number): number =>
  Math.max(1, Math.floor(slots / feeders));

/** Returns the number of connections that each feeder of a replica may hold; at least 1. */
export const connectionsOfFeeder = (connections: number, feeders: number): number =>
  Math.max(1, Math.floor((connections * (1 - CONNECTION_RESERVE_SHARE)) / feeders));
