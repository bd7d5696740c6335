/** Response of `POST /v1/edits`: the outcome of an edit, and its HTTP status. */
import { z } from 'zod';
import type { EditOutcome } from '../table/edit.js';
import {
  editIdSchema,
  findingSchema,
  kindSchema,
  routeSchema,
  rowSchema,
  sheetRowSchema,
  versionSchema,
} from './shared-schemas.js';

const rowChangeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('set'), row: rowSchema, basedOn: versionSchema }),
  z.object({
    type: z.literal('remove'),
    route: routeSchema,
    kind: kindSchema,
    basedOn: versionSchema,
  }),
]);

const conflictSchema = z.object({
  row: z.string(),
  current: sheetRowSchema.exactOptional(),
  wanted: rowChangeSchema,
  wantedBy: z.string(),
});

/** Schema of the outcome of an edit. */
export const editOutcomeBodySchema: z.ZodType<EditOutcome> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('accepted'),
    edit: editIdSchema,
    version: versionSchema,
    revision: versionSchema,
    findings: z.array(findingSchema),
  }),
  z.object({
    type: z.literal('refused'),
    edit: editIdSchema,
    findings: z.array(findingSchema),
  }),
  z.object({
    type: z.literal('conflict'),
    edit: editIdSchema,
    conflicts: z.array(conflictSchema),
  }),
  z.object({ type: z.literal('expired'), edit: editIdSchema, problem: z.string() }),
  z.object({ type: z.literal('unknown'), edit: editIdSchema, problem: z.string() }),
]);

/** HTTP status of each outcome. */
export const EDIT_OUTCOME_STATUS = {
  accepted: 200,
  refused: 422,
  conflict: 409,
  expired: 410,
  unknown: 504,
} as const satisfies Record<EditOutcome['type'], number>;
