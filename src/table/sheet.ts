/** A partner's sheet: its rows, each with a version, and the history of its edits. */
import type { EditId, PartnerId } from '../core/identifiers.js';
import type { RouteRow } from './route-row.js';

/** A row of a sheet with its version. */
export interface SheetRow {
  readonly row: RouteRow;
  /** The sheet version that last wrote this row; edits refer to it. */
  readonly rowVersion: number;
  /** Operator who last wrote this row. */
  readonly writtenBy: string;
}

/** An accepted edit. It is stored with its object, so that a lost answer is resolved by reading back. */
export interface EditRecord {
  readonly edit: EditId;
  readonly operator: string;
  /** Milliseconds since 1970, by the clock of the node that accepted the edit. */
  readonly writtenAt: number;
  readonly reason: string;
  /** Names (`route/kind`) of the changed rows, at most `RECORDED_ROWS_LIMIT` of them. */
  readonly rows: readonly string[];
  /** Number of changed rows that `rows` omits; absent for none. */
  readonly moreRows?: number;
  /** Hash of the action, which distinguishes another edit under the same id. */
  readonly digest: number;
  /** The version of the object (sheet, agreement or keys) that the edit produced. */
  readonly sheetVersion: number;
}

/** The content of the store object `sheet/{partner}`. */
export interface Sheet {
  readonly partner: PartnerId;
  readonly rows: readonly SheetRow[];
  /** Newest last; at most `HISTORY_LIMIT` edits in the store and `NODE_HISTORY_LIMIT` at nodes. */
  readonly history: readonly EditRecord[];
}

/** Maximum number of edits in the history of a stored object. */
export const HISTORY_LIMIT = 2_000;
/** Maximum number of edits, the newest, that nodes hold and send; older ones are only in the store. */
export const NODE_HISTORY_LIMIT = 256;
/** Maximum number of rows that the record of an edit names. */
export const RECORDED_ROWS_LIMIT = 20;
