/** Actions of a history: serializable operations on a simulated tier. */
import { z } from 'zod';
import { PROMISE_NAMES } from '../../protocol/promise-name.js';

const share = z.number().min(0).max(1);
const index = z.number().int().min(0);

/** Names of the faults of a replica; `none` ends all of them. */
export const REPLICA_FAULT_NAMES = [
  'none',
  'slow',
  'frozen',
  'dead',
  'shedding',
  'leaving',
  'cold',
  'wrong-answers',
  'truncated',
  'load-frozen',
  'load-inverted',
  /** Answers arrive after the deadlines of most queries. */
  'late',
  'oversized',
  /** Each answer is delivered to the node twice, whether or not the attempt has ended. */
  'doubled',
] as const;

/** The name of a fault of a replica. */
export type ReplicaFaultName = (typeof REPLICA_FAULT_NAMES)[number];

/** Events of a node at which a trap may trigger a fault. */
export const MOMENT_NAMES = [
  'query-arrived',
  'attempt-sent',
  'answer-arrived',
  'claim-granted',
  'write-answered',
  'edit-accepted',
  'news-arrived',
  'stop-requested',
] as const;

/** The name of an event at which a trap triggers. */
export type MomentName = (typeof MOMENT_NAMES)[number];

/** Faults that a trap triggers; those without a target affect the node where the event occurs. */
export const TRAP_FAULT_NAMES = [
  'crash',
  'pause',
  'stop',
  'isolate',
  'crash-reader',
  'pause-reader',
  'cut-store',
  'store-down',
  'replica-dead',
  'replica-leaving',
  'repartition',
] as const;

/** The name of a fault that a trap triggers. */
export type TrapFaultName = (typeof TRAP_FAULT_NAMES)[number];

/** Maximum time until a drain is published or a roll-out ends, in milliseconds. */
const MAX_LAG_MS = 15_000;

/** Schema of an action. Indexes of nodes, replicas, rows and zones wrap around. */
export const actionSchema = z.discriminatedUnion('type', [
  /** Advances virtual time. */
  z.object({ type: z.literal('advance'), ms: z.number().min(0).max(60_000) }),
  /** A caller sends a query for a row that is safe to repeat. */
  z.object({ type: z.literal('query'), node: index, row: index, key: index }),
  /** A caller sends an at-most-once request; using the same key again is a resend. */
  z.object({ type: z.literal('book'), node: index, row: index, key: index }),
  /** The caller of an earlier call closes its connection. */
  z.object({ type: z.literal('leave'), call: index }),
  z.object({ type: z.literal('crash'), node: index }),
  z.object({ type: z.literal('restart'), node: index }),
  z.object({ type: z.literal('pause'), node: index }),
  z.object({ type: z.literal('wake'), node: index }),
  z.object({ type: z.literal('stop'), node: index }),
  /** A node is paused for `ms` milliseconds and then resumed. */
  z.object({ type: z.literal('nap'), node: index, ms: z.number().min(0).max(60_000) }),
  /** The next time that `moment` occurs at a node, the fault follows directly after that step. */
  z.object({
    type: z.literal('trap'),
    moment: z.enum(MOMENT_NAMES),
    fault: z.enum(TRAP_FAULT_NAMES),
    target: index,
  }),
  z.object({ type: z.literal('cut-zones'), first: index, second: index }),
  z.object({ type: z.literal('isolate'), node: index }),
  z.object({ type: z.literal('cut-store'), zone: index }),
  z.object({ type: z.literal('heal') }),
  z.object({
    type: z.literal('network'),
    lossShare: share,
    duplicateShare: share,
    jitterMs: z.number().min(0).max(500),
  }),
  z.object({
    type: z.literal('store'),
    down: z.boolean(),
    delayMs: z.number().min(0).max(10_000),
    loseAnswerShare: share,
  }),
  /** The store loses its last writes, except those made before the first action. */
  z.object({ type: z.literal('roll-back-store'), writes: z.number().int().min(1).max(20) }),
  z.object({
    type: z.literal('replica'),
    replica: index,
    fault: z.enum(REPLICA_FAULT_NAMES),
  }),
  /** The platform publishes the current lifecycle of a replica. */
  z.object({ type: z.literal('publish'), replica: index }),
  /** A replica starts leaving; the platform publishes this `publishAfterMs` later. */
  z.object({
    type: z.literal('drain'),
    replica: index,
    publishAfterMs: z.number().min(0).max(MAX_LAG_MS),
  }),
  /** A snapshot is added, the replicas load it one by one, then the oldest is removed. */
  z.object({
    type: z.literal('roll-out'),
    partner: index,
    addedShards: index.max(3),
    overMs: z.number().min(0).max(MAX_LAG_MS),
  }),
  /** A snapshot is added to a partner's layout, with `addedShards` more shards in each service. */
  z.object({ type: z.literal('add-snapshot'), partner: index, addedShards: index.max(3) }),
  /** A replica loads all snapshots of the layout, and the platform publishes this. */
  z.object({ type: z.literal('load-snapshots'), replica: index }),
  /** The oldest of several snapshots is removed from the layout and from all replicas. */
  z.object({ type: z.literal('retire-snapshot'), partner: index }),
  /** An operator sets a row; with `stale`, the edit is based on an outdated row version. */
  z.object({
    type: z.literal('edit'),
    node: index,
    row: index,
    deadlineMs: z.number().int().min(100).max(5_000),
    stale: z.boolean(),
  }),
  /** Two operators set the same row at the same time, each through its own node. */
  z.object({
    type: z.literal('race-edits'),
    first: index,
    second: index,
    row: index,
    deadlineMs: z.number().int().min(100).max(5_000),
  }),
  /** An operator resends an earlier edit, possibly to another node. */
  z.object({ type: z.literal('resend-edit'), node: index, edit: index }),
]);

/** One action. */
export type Action = z.infer<typeof actionSchema>;

/** Maximum number of actions of a history; the fuzzer generates far fewer. */
const MAX_ACTIONS = 10_000;

/** Schema of a history file: seed, tier, actions and the invariant that was violated, if any. */
export const historySchema = z.object({
  format: z.literal('crossroad-history'),
  version: z.literal(1),
  seed: z.number().int(),
  world: z.enum(['small', 'ensemble', 'tawe', 'both']),
  nodesPerZone: z.number().int().min(1).max(20),
  actions: z.array(actionSchema).max(MAX_ACTIONS),
  /** The violation for which the history was recorded; the same program reproduces it. */
  broke: z
    .object({ invariant: z.enum(PROMISE_NAMES), at: z.number(), detail: z.string() })
    .optional(),
});

/** The content of a history file. */
export type History = z.infer<typeof historySchema>;
