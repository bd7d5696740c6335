/** Body of `POST /v1/edits`. The key of the request determines the partner and the operator. */
import { Left, Right, type Either } from 'purify-ts';
import { z } from 'zod';
import type { EditAction, EditRequest, RowChange } from '../table/edit.js';
import type { Finding } from '../table/finding.js';
import { readRow } from '../table/read-row.js';
import {
  editIdSchema,
  kindSchema,
  poolShareSchema,
  routeSchema,
  versionSchema,
} from './shared-schemas.js';

/** Most row changes in one edit. */
const CHANGES_LIMIT = 20_000;
/** Most keys per partner. */
const KEYS_LIMIT = 1_000;
/** Longest id of an edit, or name of a key or a proposal, in characters. */
const TEXT_NAME_LIMIT = 100;
/** Longest reason, in characters. */
export const REASON_LIMIT = 500;
/** Most partners in an agreement. */
const PARTNERS_LIMIT = 16;

const nameSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]*$/)
  .max(TEXT_NAME_LIMIT);
/**
 * Control characters are refused, as the reason is shown on terminals and pages of both partners.
 */
const reasonSchema = z
  .string()
  .trim()
  .min(1)
  .max(REASON_LIMIT)
  .regex(/^[^\p{Cc}\p{Cf}]*$/u, 'has control characters; allowed: one line of plain text');
const sharesSchema = z.array(poolShareSchema).min(1).max(PARTNERS_LIMIT);

const changeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('set'), row: z.unknown(), basedOn: versionSchema }),
  z.object({
    type: z.literal('remove'),
    route: routeSchema,
    kind: kindSchema,
    basedOn: versionSchema,
  }),
]);

const actionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('change-rows'),
    changes: z.array(changeSchema).min(1).max(CHANGES_LIMIT),
  }),
  z.object({
    type: z.literal('replace-keys'),
    keys: z
      .array(
        z.object({
          name: nameSchema,
          role: z.enum(['caller', 'operator']),
          sha256: z.string().regex(/^[0-9a-f]{64}$/),
        }),
      )
      .max(KEYS_LIMIT),
    basedOn: versionSchema,
  }),
  z.object({ type: z.literal('propose-agreement'), proposal: nameSchema, shares: sharesSchema }),
  z.object({ type: z.literal('approve-agreement'), proposal: nameSchema, shares: sharesSchema }),
]);

/** Schema of the body; `parseEditBody` validates the rows in addition. */
export const editBodySchema = z.object({
  edit: nameSchema.pipe(editIdSchema),
  reason: reasonSchema,
  seenVersion: versionSchema,
  action: actionSchema,
});

/** An edit as an operator sends it. */
export type EditBody = Pick<EditRequest, 'edit' | 'reason' | 'seenVersion' | 'action'>;

type RawChange = z.infer<typeof changeSchema>;

const findingOf = (issue: z.core.$ZodIssue): Finding => ({
  severity: 'error',
  place: ['edit', ...issue.path.map(String)].join('.'),
  problem: issue.message,
});

const readChanges = (changes: readonly RawChange[]): Either<Finding[], EditAction> => {
  const findings: Finding[] = [];
  const read: RowChange[] = [];
  changes.forEach((change, index) => {
    if (change.type === 'remove') {
      read.push(change);
      return;
    }
    readRow(change.row, 'edit', `#${index + 1}`).caseOf({
      Left: (problems) => findings.push(...problems),
      Right: (row) => read.push({ type: 'set', row, basedOn: change.basedOn }),
    });
  });
  return findings.length > 0 ? Left(findings) : Right({ type: 'change-rows', changes: read });
};

/** Parses the body of an edit; reports all findings together, each with its place. */
export const parseEditBody = (body: unknown): Either<Finding[], EditBody> => {
  const parsed = editBodySchema.safeParse(body);
  if (!parsed.success) {
    return Left(parsed.error.issues.map(findingOf));
  }
  const { edit, reason, seenVersion, action } = parsed.data;
  const read: Either<Finding[], EditAction> =
    action.type === 'change-rows' ? readChanges(action.changes) : Right(action);
  return read.map((checked) => ({ edit, reason, seenVersion, action: checked }));
};
