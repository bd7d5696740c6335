/** The schema of scenario files, with defaults for optional fields. */
import { z } from 'zod';
import { NODE_ACTIONS, SCENARIO_PARTNERS } from './scenario.js';

/** Maximum duration of the measured part and of other times in a scenario, in milliseconds. */
const MAX_RUN_MS = 600_000;

const time = z.number().min(0).max(MAX_RUN_MS);
const share = z.number().min(0).max(1);
const text = z.string().min(1).max(100);
const partner = z.enum(SCENARIO_PARTNERS);
const positive = z.number().positive().max(10_000);

const replicaTarget = z.strictObject({
  partner: partner.optional(),
  group: text.optional(),
  service: text.optional(),
  replica: text.optional(),
  zone: text.optional(),
  firstOfService: z.int().min(1).optional(),
});

const replicaChange = z.strictObject({
  slowFactor: positive.optional(),
  slowShare: share.optional(),
  frozen: z.boolean().optional(),
  dead: z.boolean().optional(),
  shedding: z.boolean().optional(),
  lifecycle: z.enum(['ready', 'warming', 'leaving']).optional(),
  loadReport: z.enum(['true', 'frozen', 'inverted']).optional(),
  coldMs: time.optional(),
  wrongAnswerShare: share.optional(),
  truncatedShare: share.optional(),
  oversizedShare: share.optional(),
});

const storeChange = z.strictObject({
  down: z.boolean().optional(),
  delayMs: time.optional(),
  loseAnswerShare: share.optional(),
  machineListLagMs: time.optional(),
  rollBackTo: z.int().min(0).optional(),
});

const atMs = time;

const fault = z.discriminatedUnion('kind', [
  z.strictObject({
    atMs,
    kind: z.literal('replica-fault'),
    target: replicaTarget,
    change: replicaChange,
  }),
  z.strictObject({
    atMs,
    kind: z.literal('drain'),
    target: replicaTarget,
    publishAfterMs: time.default(0),
  }),
  z.strictObject({ atMs, kind: z.literal('store-fault'), change: storeChange }),
  z.strictObject({
    atMs,
    kind: z.literal('node-fault'),
    target: z.strictObject({ node: text.optional(), zone: text.optional() }),
    action: z.enum(NODE_ACTIONS),
  }),
  z.strictObject({ atMs, kind: z.literal('zone-cut'), zones: z.array(text).min(1) }),
  z.strictObject({ atMs, kind: z.literal('zone-heal') }),
  z.strictObject({
    atMs,
    kind: z.literal('roll-out'),
    partner,
    version: z.int().min(2),
    overMs: time,
    addedShards: z.int().min(0).max(100).default(0),
  }),
  z.strictObject({
    atMs,
    kind: z.literal('load-factor'),
    partner,
    factor: z.number().min(0).max(1_000),
  }),
  z.strictObject({
    atMs,
    kind: z.literal('edit'),
    partner,
    route: text,
    requestKind: text,
    weight: positive,
  }),
]);

const isOrderedByTime = (faults: readonly { readonly atMs: number }[]): boolean =>
  faults.every(({ atMs: at }, index) => at >= (faults[index - 1]?.atMs ?? 0));

/** A scenario file. */
export const SCENARIO_SCHEMA = z
  .strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9 and "-"'),
    title: text,
    partners: z.array(partner).min(1),
    scale: z
      .strictObject({
        services: positive.default(1),
        replicas: positive.default(1),
      })
      .default({ services: 1, replicas: 1 }),
    sharedGroup: text.optional(),
    nodesPerZone: z.int().min(1).max(1_000).default(1),
    serviceTimeFactor: positive.default(1),
    warmUpMs: time.default(2_000),
    durationMs: time.min(1).default(10_000),
    settleMs: time.default(0),
    load: z
      .array(
        z.strictObject({
          partner,
          queriesPerSecond: z.number().positive().max(100_000),
          routes: z.array(text).min(1).optional(),
        }),
      )
      .min(1),
    faults: z.array(fault).refine(isOrderedByTime, 'must be ordered by atMs').default([]),
  })
  .refine(({ load, partners }) => load.every((item) => partners.includes(item.partner)), {
    path: ['load'],
    message: 'names a partner that is not deployed',
  })
  .refine(({ settleMs, durationMs }) => settleMs < durationMs, {
    path: ['settleMs'],
    message: 'must be below durationMs',
  });
