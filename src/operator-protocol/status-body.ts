/** Answers about the running tier: `GET /v1/status` and `GET /v1/revisions`. */
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

/** A node as the answering one knows it, with the revision it last reported. */
const nodeRevisionSchema = z.object({
  node: nodeSchema,
  zone: zoneSchema,
  region: z.string(),
  state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
  /** Grows with each start of the node and each suspicion it refuted. */
  incarnation: z.number(),
  /** All changes of the store up to this revision are in force there; null when not yet heard. */
  revision: versionSchema.nullable(),
});

/** Answer of `GET /v1/revisions`: what is in force where. */
export const revisionsBodySchema = z.object({
  node: nodeSchema,
  revision: versionSchema,
  nodes: z.array(nodeRevisionSchema),
});

/** A replica as the answering node sees it. */
const replicaBodySchema = z.object({
  partner: partnerSchema,
  service: serviceSchema,
  replica: replicaSchema,
  zone: zoneSchema,
  /** What the platform publishes. */
  lifecycle: z.enum(['ready', 'warming', 'leaving']),
  slots: z.number(),
  connections: z.number(),
  snapshots: z.array(z.number()),
  /** Attempts of this node in progress there. */
  inProgress: z.number(),
  /**
   * How the node treats it: `leaving` by a sign that it or a peer saw, `ejected` after failures,
   * `shedding` while it is left alone after it refused work, else `used`.
   */
  seen: z.enum(['used', 'leaving', 'ejected', 'shedding']),
  /** Mean time from sending to the answer at this node, in milliseconds; null before the first. */
  meanMs: z.number().nullable(),
});

/** A limit of a row with the part that this node holds. */
const limitBodySchema = z.object({
  partner: partnerSchema,
  route: routeSchema,
  kind: kindSchema,
  limit: z.enum(['concurrent', 'per-second']),
  /** The bound over all nodes. */
  total: z.number(),
  /** This node's grant. */
  granted: z.number(),
  /** In use at this node. */
  inUse: z.number(),
});

/** Answer of `GET /v1/status`. */
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
/** What is in force where. */
export type RevisionsBody = z.infer<typeof revisionsBodySchema>;
/** The state of the tier as one node sees it. */
export type StatusBody = z.infer<typeof statusBodySchema>;
