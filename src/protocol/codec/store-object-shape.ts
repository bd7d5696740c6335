/**
 * Checks the shape of store objects from the platform and from peers. The content of a sheet is
 * validated separately, by `src/table`.
 */
import { type Either, Left, Right } from 'purify-ts';
import { z } from 'zod';
import type { Machine, StoreContent, StoreObject } from '../../catalog/store-object.js';
import { isUsualHistory, isUsualRowList } from './fast-checks.js';

const text = z.string();
const count = z.int().min(0);
const share = z.number().min(0).max(1);

/** Wraps the schema of a long list; the schema is skipped for lists that pass the fast check. */
const withFastCheck = (isUsual: (value: unknown) => boolean, schema: z.ZodType): z.ZodType =>
  z.unknown().superRefine((value, context) => {
    const issues = isUsual(value) ? [] : (schema.safeParse(value).error?.issues ?? []);
    issues.forEach((issue) => {
      context.addIssue({ ...issue });
    });
  });

const ROW = z.looseObject({
  partner: text,
  route: text,
  kind: text,
  services: z.array(text),
  fanOut: z.enum(['all', 'key']),
  merge: z.enum(['concatenate', 'top', 'sum']),
  maxItems: count,
  weight: z.number().positive(),
  deadlineMs: z.number().positive(),
  coverage: share,
  safeToRepeat: z.boolean(),
  concurrentLimit: z.number().min(0).optional(),
  perSecondLimit: z.number().min(0).optional(),
  extraLoadLimit: share,
  hedging: z.boolean(),
  snapshotPolicy: z.enum(['covered', 'newest']),
});

/** Schema of rows with their versions and writers. */
export const ROW_LIST = z.array(z.looseObject({ row: ROW, rowVersion: count, writtenBy: text }));

const SHEET_ROWS = withFastCheck(isUsualRowList, ROW_LIST);

/** Schema of records of edits. */
export const RECORD_LIST = z.array(
  z.looseObject({
    edit: text,
    operator: text,
    writtenAt: z.number(),
    reason: text,
    rows: z.array(text),
    moreRows: count.optional(),
    digest: count,
    sheetVersion: count,
  }),
);

const HISTORY = withFastCheck(isUsualHistory, RECORD_LIST);

const SHEET = z.looseObject({ partner: text, rows: SHEET_ROWS, history: HISTORY });

const SHEET_DELTA = z.looseObject({
  name: text.min(1).max(512),
  fromRevision: count,
  version: z.int().min(1),
  revision: z.int().min(1),
  removed: z.array(text),
  rows: SHEET_ROWS,
  records: HISTORY,
});

const SHARES = z.array(z.looseObject({ partner: text, share }));

const AGREEMENT = z.looseObject({
  shares: SHARES,
  proposals: z
    .array(
      z.looseObject({
        proposal: text,
        proposedBy: text,
        shares: SHARES,
        approvedBy: z.array(text),
      }),
    )
    .optional(),
  history: HISTORY.optional(),
});

const KEYS = z.looseObject({
  partner: text,
  keys: z.array(
    z.looseObject({
      name: text,
      role: z.enum(['caller', 'operator']),
      sha256: z.string().regex(/^[0-9a-f]{64}$/),
    }),
  ),
  history: HISTORY.optional(),
});

const LAYOUT = z.looseObject({
  partner: text,
  snapshots: z.array(
    z.looseObject({
      version: count,
      shards: z.array(z.looseObject({ shard: text, service: text })),
    }),
  ),
});

const STATUS = z.looseObject({
  partner: text,
  service: text,
  replicas: z.array(
    z.looseObject({
      replica: text,
      zone: text,
      host: text,
      port: z.int().min(1).max(65_535),
      slots: z.int().min(1),
      connections: z.int().min(1),
      lifecycle: z.enum(['ready', 'warming', 'leaving']),
      snapshots: z.array(count),
    }),
  ),
});

const ROSTER = z.looseObject({
  period: count,
  keepers: z.array(z.looseObject({ node: text, zone: text, incarnation: count })),
  homes: z.array(z.looseObject({ partner: text, zones: z.array(text) })).optional(),
});

/** The schema of each type of content; a type without a schema fails to compile. */
const CONTENT: { readonly [Type in StoreContent['type']]: z.ZodType } = {
  sheet: z.looseObject({ sheet: SHEET }),
  agreement: z.looseObject({ agreement: AGREEMENT }),
  keys: z.looseObject({ keys: KEYS }),
  layout: z.looseObject({ layout: LAYOUT }),
  status: z.looseObject({ status: STATUS }),
  keepers: z.looseObject({ roster: ROSTER }),
};

const ENVELOPE = z.looseObject({
  name: text.min(1).max(512),
  version: z.int().min(1),
  revision: z.int().min(1),
  content: z.looseObject({ type: z.enum(Object.keys(CONTENT) as StoreContent['type'][]) }),
});

const MACHINE = z.looseObject({
  id: text,
  host: text,
  port: z.int().min(1).max(65_535),
  zone: text,
  state: z.enum(['live', 'leaving']),
});

const describe = (error: z.ZodError): string =>
  error.issues
    .map((issue) => `${issue.path.map(String).join('.')}: ${issue.message}`)
    .slice(0, 3)
    .join('; ');

/** Checks a store object; Left names the first invalid fields, at most three. */
export const checkStoreObject = (value: unknown): Either<string, StoreObject> => {
  const envelope = ENVELOPE.safeParse(value);
  if (!envelope.success) {
    return Left(describe(envelope.error));
  }
  const content = CONTENT[envelope.data.content.type].safeParse(envelope.data.content);
  return content.success ? Right(value as StoreObject) : Left(describe(content.error));
};

/** True for a store object. */
export const isStoreObject = (value: unknown): boolean => checkStoreObject(value).isRight();

/** True for the delta of a sheet. */
export const isSheetDelta = (value: unknown): boolean => SHEET_DELTA.safeParse(value).success;

/** True for an entry of the platform's machine list. */
export const isMachine = (value: unknown): value is Machine => MACHINE.safeParse(value).success;
