/**
 * Identifiers used throughout the tier. Each is a branded string, so that a replica's identifier
 * cannot be passed where a node's is expected.
 */
type Branded<Name extends string> = string & { readonly __brand: Name };

/** Identifies a node while its process runs at one address, e.g. `bole/node-1`. */
export type NodeId = Branded<'NodeId'>;
/** Identifies a partner organisation, e.g. `ensemble`. */
export type PartnerId = Branded<'PartnerId'>;
/** Names a route within its partner, e.g. `season-roster`. */
export type RouteName = Branded<'RouteName'>;
/** Names a kind of request within a route, e.g. `page`. */
export type RequestKind = Branded<'RequestKind'>;
/** Names a backend service, e.g. `booking-desk-3`. */
export type ServiceName = Branded<'ServiceName'>;
/** Names a shard of a service in a snapshot's layout, e.g. `booking-desk-3#0`. */
export type ShardId = Branded<'ShardId'>;
/** Names a replica of a service, e.g. `booking-desk-3-r1`. */
export type ReplicaId = Branded<'ReplicaId'>;
/** Names a zone, e.g. `bole`. */
export type ZoneName = Branded<'ZoneName'>;
/** Identifies one caller's request; unique over all nodes and restarts. */
export type RequestId = Branded<'RequestId'>;
/** Identifies one attempt of one leg; unique over all nodes and restarts. */
export type AttemptId = Branded<'AttemptId'>;
/** Identifies an open call at this node's caller port; local to the process. */
export type CallId = Branded<'CallId'>;
/** Names an object of the platform's store, e.g. `sheet/ensemble`. */
export type ObjectName = Branded<'ObjectName'>;
/** Identifies one edit of the table; unique over all operators. */
export type EditId = Branded<'EditId'>;

/** Identifies a request of this node to the store; local to the process. */
export type StoreRequestId = Branded<'StoreRequestId'>;

/** Casts a plain string to an identifier of type `Id`; the caller is responsible for its format. */
export const identifier = <Id extends Branded<string>>(text: string): Id => text as Id;
