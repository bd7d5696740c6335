/** Zod schemas that several bodies of the operators' HTTP share. */
import { z } from 'zod';
import type {
  EditId,
  NodeId,
  PartnerId,
  ReplicaId,
  RequestKind,
  RouteName,
  ServiceName,
  ZoneName,
} from '../core/identifiers.js';
import { readRow } from '../table/read-row.js';
import type { RouteRow } from '../table/route-row.js';

const text = <Id extends string>() => z.string().transform((value) => value as Id);

/** A partner. */
export const partnerSchema = text<PartnerId>();
/** A route. */
export const routeSchema = text<RouteName>();
/** A kind of request. */
export const kindSchema = text<RequestKind>();
/** An edit's id. */
export const editIdSchema = text<EditId>();
/** A node. */
export const nodeSchema = text<NodeId>();
/** A zone. */
export const zoneSchema = text<ZoneName>();
/** A service. */
export const serviceSchema = text<ServiceName>();
/** A replica. */
export const replicaSchema = text<ReplicaId>();
/** A version or revision. */
export const versionSchema = z.int().min(0);

/** A row of a sheet, validated by its columns. */
export const rowSchema = z.unknown().transform((value, context): RouteRow => {
  const read = readRow(value, 'row', '');
  if (read.isRight()) {
    return read.unsafeCoerce();
  }
  context.issues.push({ code: 'custom', message: 'is no row of a sheet', input: value });
  return z.NEVER;
});

/** A finding. */
export const findingSchema = z.object({
  severity: z.enum(['error', 'warning']),
  place: z.string(),
  problem: z.string(),
  allowed: z.string().exactOptional(),
});

/** A partner's share of the pool. */
export const poolShareSchema = z.object({ partner: partnerSchema, share: z.number() });

/** A row with its version and the operator who wrote it. */
export const sheetRowSchema = z.object({
  row: rowSchema,
  rowVersion: versionSchema,
  writtenBy: z.string(),
});

/** An accepted edit. */
export const editRecordSchema = z.object({
  edit: editIdSchema,
  operator: z.string(),
  writtenAt: z.number(),
  reason: z.string(),
  rows: z.array(z.string()),
  moreRows: versionSchema.exactOptional(),
  digest: z.number(),
  sheetVersion: versionSchema,
});
