/** Responses about the table: `GET /v1/table` and `GET /v1/table/{partner}/history`. */
import { z } from 'zod';
import {
  editRecordSchema,
  partnerSchema,
  poolShareSchema,
  sheetRowSchema,
  versionSchema,
} from './shared-schemas.js';

/** One partner's sheet, as in force at the node. */
const sheetBodySchema = z.object({
  partner: partnerSchema,
  /** Version of the object `sheet/{partner}`; 0 when there is none yet. */
  version: versionSchema,
  /** Store revision of the last write of the sheet; 0 when there is none yet. */
  revision: versionSchema,
  rows: z.array(sheetRowSchema),
});

/** The agreement, as in force at the node. */
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

/** Response of `GET /v1/table`. */
export const tableBodySchema = z.object({
  node: z.string(),
  /** All changes of the store up to this revision are in force at the node. */
  revision: versionSchema,
  /** The partner of the requesting operator, who can write only the rows of this partner. */
  partner: partnerSchema,
  sheets: z.array(sheetBodySchema),
  agreement: agreementBodySchema,
});

/** Response of `GET /v1/table/{partner}/history`. */
export const historyBodySchema = z.object({
  partner: partnerSchema,
  version: versionSchema,
  /** Newest last. */
  history: z.array(editRecordSchema),
  /**
   * Present when the store did not answer: `history` has only the newest edits, which the node
   * holds.
   */
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
