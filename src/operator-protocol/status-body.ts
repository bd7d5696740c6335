/** Responses about the state of the tier: `GET /v1/status` and `GET /v1/revisions`. */
import { z } from 'zod';
import {
  kindSchema,
  nodeSchema,
  partnerSchema,
  replicaSchema,
  routeSchema,
  serviceSchema,
  versionSchema,
  zoneSchema,
} from './shared-schemas.js';

/** A node as the responding node sees it, with the revision that it last reported. */
const nodeRevisionSchema = z.object({
  node: nodeSchema,
  zone: zoneSchema,
  region: z.string(),
  state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
  /** Incremented at each start of the node and each suspicion that it refutes. */
  incarnation: z.number(),
  /**
   * All changes of the store up to this revision are in force there; null until the node reports
   * one.
   */
  revision: versionSchema.nullable(),
});

/** Response of `GET /v1/revisions`: the revision in force on each node. */
export const revisionsBodySchema = z.object({
  node: nodeSchema,
  revision: versionSchema,
  nodes: z.array(nodeRevisionSchema),
});

/** A replica as the responding node sees it. */
const replicaBodySchema = z.object({
  partner: partnerSchema,
  service: serviceSchema,
  replica: replicaSchema,
  zone: zoneSchema,
  /** The lifecycle that the platform publishes. */
  lifecycle: z.enum(['ready', 'warming', 'leaving']),
  slots: z.number(),
  connections: z.number(),
  snapshots: z.array(z.number()),
  /** Attempts of this node that are in progress at the replica. */
  inProgress: z.number(),
  /**
   * How the node treats the replica: `leaving` after this node or a peer observed that it is
   * leaving, `ejected` after failures, `shedding` during the back-off after it refused work,
   * otherwise `used`.
   */
  seen: z.enum(['used', 'leaving', 'ejected', 'shedding']),
  /** Mean latency of attempts from this node, in milliseconds; null before the first answer. */
  meanMs: z.number().nullable(),
});

/** A limit of a row with this node's grant. */
const limitBodySchema = z.object({
  partner: partnerSchema,
  route: routeSchema,
  kind: kindSchema,
  limit: z.enum(['concurrent', 'per-second']),
  /** The limit over all nodes. */
  total: z.number(),
  /** This node's grant. */
  granted: z.number(),
  /** In use at this node. */
  inUse: z.number(),
});

/** Response of `GET /v1/status`. */
export const statusBodySchema = z.object({
  node: nodeSchema,
  zone: zoneSchema,
  phase: z.enum(['starting', 'serving', 'stopping', 'ended']),
  revision: versionSchema,
  /** Version in force of each object, e.g. `sheet/ensemble`. */
  objects: z.array(z.object({ name: z.string(), version: versionSchema, revision: versionSchema })),
  nodes: z.array(nodeRevisionSchema),
  replicas: z.array(replicaBodySchema),
  limits: z.array(limitBodySchema),
  counters: z.record(z.string(), z.number()),
});

/** A node with its revision. */
export type NodeRevision = z.infer<typeof nodeRevisionSchema>;
/** The revision in force on each node. */
export type RevisionsBody = z.infer<typeof revisionsBodySchema>;
/** The state of the tier as one node sees it. */
export type StatusBody = z.infer<typeof statusBodySchema>;
