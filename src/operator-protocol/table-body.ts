/** Answers about the table: `GET /v1/table` and `GET /v1/table/{partner}/history`. */
import { z } from 'zod';
import {
  editRecordSchema,
  partnerSchema,
  poolShareSchema,
  sheetRowSchema,
  versionSchema,
} from './shared-schemas.js';

/** One partner's sheet as it is in force at the node. */
const sheetBodySchema = z.object({
  partner: partnerSchema,
  /** Version of the object `sheet/{partner}`; 0 when there is none yet. */
  version: versionSchema,
  /** The store's revision of its last write; 0 when there is none yet. */
  revision: versionSchema,
  rows: z.array(sheetRowSchema),
});

/** The agreement as it is in force at the node. */
const agreementBodySchema = z.object({
  /** Version of the object `agreement`; 0 when there is none yet. */
  version: versionSchema,
  revision: versionSchema,
  shares: z.array(poolShareSchema),
  proposals: z.array(
    z.object({
      proposal: z.string(),
      proposedBy: partnerSchema,
      shares: z.array(poolShareSchema),
      approvedBy: z.array(partnerSchema),
    }),
  ),
});

/** Answer of `GET /v1/table`. */
export const tableBodySchema = z.object({
  node: z.string(),
  /** All changes of the store up to this revision are in force at the node. */
  revision: versionSchema,
  /** The partner whose operator asks; its rows are the ones that can be written. */
  partner: partnerSchema,
  sheets: z.array(sheetBodySchema),
  agreement: agreementBodySchema,
});

/** Answer of `GET /v1/table/{partner}/history`. */
export const historyBodySchema = z.object({
  partner: partnerSchema,
  version: versionSchema,
  /** Newest last. */
  history: z.array(editRecordSchema),
  /** The store gave no answer: only the newest edits, which the node holds, are shown. */
  olderMissing: z.literal(true).optional(),
});

/** One partner's sheet. */
export type SheetBody = z.infer<typeof sheetBodySchema>;
/** The agreement. */
export type AgreementBody = z.infer<typeof agreementBodySchema>;
/** The whole table. */
export type TableBody = z.infer<typeof tableBodySchema>;
/** A sheet's history. */
export type HistoryBody = z.infer<typeof historyBodySchema>;
