/** Actions of a history: what is done to a simulated tier, as data that fits into a file. */
import { z } from 'zod';
import { PROMISE_NAMES } from '../../protocol/promise-name.js';

const share = z.number().min(0).max(1);
const index = z.number().int().min(0);

/** What can be made to go wrong at a replica, by name; `none` makes it sound again. */
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
  /** Answers come after the deadlines of most queries. */
  'late',
  'oversized',
  /** Each answer comes to the node a second time, whatever became of the attempt. */
  'doubled',
] as const;

/** The name of a fault of a replica. */
export type ReplicaFaultName = (typeof REPLICA_FAULT_NAMES)[number];

/** Moments in the life of a node in which a fault may be made to happen. */
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

/** The name of a moment. */
export type MomentName = (typeof MOMENT_NAMES)[number];

/** Faults that a trap springs; those without a target hit the node whose moment it is. */
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

/** The name of a fault of a trap. */
export type TrapFaultName = (typeof TRAP_FAULT_NAMES)[number];

/** Longest time from the begin of a drain or a roll-out to its publication or end. */
const MAX_LAG_MS = 15_000;

/** Actions name nodes, replicas, rows and zones by index; each is taken modulo how many there are. */
export const actionSchema = z.discriminatedUnion('type', [
  /** Lets time pass. */
  z.object({ type: z.literal('advance'), ms: z.number().min(0).max(60_000) }),
  /** A caller asks for a row that is safe to repeat. */
  z.object({ type: z.literal('query'), node: index, row: index, key: index }),
  /** A caller asks for what may run at most once; the same key again is a resend. */
  z.object({ type: z.literal('book'), node: index, row: index, key: index }),
  /** The caller of an earlier call goes away. */
  z.object({ type: z.literal('leave'), call: index }),
  z.object({ type: z.literal('crash'), node: index }),
  z.object({ type: z.literal('restart'), node: index }),
  z.object({ type: z.literal('pause'), node: index }),
  z.object({ type: z.literal('wake'), node: index }),
  z.object({ type: z.literal('stop'), node: index }),
  /** A node is paused for so long and wakes. */
  z.object({ type: z.literal('nap'), node: index, ms: z.number().min(0).max(60_000) }),
  /** The next time that a node comes to the moment, the fault happens right after its step. */
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
  /** The store forgets its last writes, but for those that were there at first. */
  z.object({ type: z.literal('roll-back-store'), writes: z.number().int().min(1).max(20) }),
  z.object({
    type: z.literal('replica'),
    replica: index,
    fault: z.enum(REPLICA_FAULT_NAMES),
  }),
  /** The platform publishes the lifecycle that a replica has. */
  z.object({ type: z.literal('publish'), replica: index }),
  /** A replica begins to leave; the platform publishes it so much later. */
  z.object({
    type: z.literal('drain'),
    replica: index,
    publishAfterMs: z.number().min(0).max(MAX_LAG_MS),
  }),
  /** A snapshot is added, the replicas take it one after the other, then the oldest goes away. */
  z.object({
    type: z.literal('roll-out'),
    partner: index,
    addedShards: index.max(3),
    overMs: z.number().min(0).max(MAX_LAG_MS),
  }),
  /** A snapshot is added to a partner's layout, with so many shards more in each service. */
  z.object({ type: z.literal('add-snapshot'), partner: index, addedShards: index.max(3) }),
  /** A replica takes all snapshots of the layout, and the platform publishes it. */
  z.object({ type: z.literal('load-snapshots'), replica: index }),
  /** The oldest of several snapshots goes away, from the layout and from all replicas. */
  z.object({ type: z.literal('retire-snapshot'), partner: index }),
  /** An operator sets a row; `stale` names a row version that has passed. */
  z.object({
    type: z.literal('edit'),
    node: index,
    row: index,
    deadlineMs: z.number().int().min(100).max(5_000),
    stale: z.boolean(),
  }),
  /** Two operators set the same row at once, each through a node of its own. */
  z.object({
    type: z.literal('race-edits'),
    first: index,
    second: index,
    row: index,
    deadlineMs: z.number().int().min(100).max(5_000),
  }),
  /** An operator sends an earlier edit again, perhaps to another node. */
  z.object({ type: z.literal('resend-edit'), node: index, edit: index }),
]);

/** One action. */
export type Action = z.infer<typeof actionSchema>;

/** Most actions that a history may have; the fuzzer draws far fewer. */
const MAX_ACTIONS = 10_000;

/** A history file: a seed, the world, what was done to it, and the promise that broke, if any did. */
export const historySchema = z.object({
  format: z.literal('crossroad-history'),
  version: z.literal(1),
  seed: z.number().int(),
  world: z.enum(['small', 'ensemble', 'tawe', 'both']),
  nodesPerZone: z.number().int().min(1).max(20),
  actions: z.array(actionSchema).max(MAX_ACTIONS),
  /** The breach for which the history was written; a run with the same program finds it again. */
  broke: z
    .object({ invariant: z.enum(PROMISE_NAMES), at: z.number(), detail: z.string() })
    .optional(),
});

/** A history, as its file holds it. */
export type History = z.infer<typeof historySchema>;
