/** A partner's sheet: its rows, with a version for each, and the edits that made them. */
import type { EditId, PartnerId } from '../core/identifiers.js';
import type { RouteRow } from './route-row.js';

/** A row as it stands in a sheet. */
export interface SheetRow {
  readonly row: RouteRow;
  /** The sheet version at which this row was last written; edits name it. */
  readonly rowVersion: number;
  /** Operator who wrote it last. */
  readonly writtenBy: string;
}

/** One accepted edit, kept with its object so that a lost answer can be resolved by reading back. */
export interface EditRecord {
  readonly edit: EditId;
  readonly operator: string;
  /** Milliseconds since 1970 at the node that accepted the edit. */
  readonly writtenAt: number;
  readonly reason: string;
  /** `route/kind` of the rows it touched, at most `RECORDED_ROWS_LIMIT`. */
  readonly rows: readonly string[];
  /** How many more rows it touched; absent for none. */
  readonly moreRows?: number;
  /** Hash of what the edit does, so that another edit under the same id is told apart. */
  readonly digest: number;
  /** The version of the object (sheet, agreement or keys) that it produced. */
  readonly sheetVersion: number;
}

/** The content of the store object `sheet/{partner}`. */
export interface Sheet {
  readonly partner: PartnerId;
  readonly rows: readonly SheetRow[];
  /** Newest last; bounded by `HISTORY_LIMIT` in the store, by `SPREAD_HISTORY_LIMIT` at nodes. */
  readonly history: readonly EditRecord[];
}

/** Most edits an object keeps in the store. */
export const HISTORY_LIMIT = 2_000;
/** Most edits of an object that nodes hold and pass on, the newest; the others are in the store. */
export const NODE_HISTORY_LIMIT = 256;
/** Most rows that one edit's record names. */
export const RECORDED_ROWS_LIMIT = 20;
