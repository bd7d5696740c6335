/**
 * Deltas between two revisions of a sheet. A sheet includes its history, which resolves lost answers;
 * without deltas, each small edit would send the whole history to every node again.
 */
import type { StoreObject } from '../catalog/store-object.js';
import type { ObjectName } from '../core/identifiers.js';
import { COLUMNS } from './columns.js';
import type { RouteRow } from './route-row.js';
import { rowKey } from './row-key.js';
import { isOrdered, orderRows, replaceRows, visitChangedRows } from './row-order.js';
import { type EditRecord, type Sheet, type SheetRow, NODE_HISTORY_LIMIT } from './sheet.js';

/** Maximum number of rows and edits in a delta; a larger change is sent as the whole sheet. */
export const DELTA_LIMIT = 256;

/** The changes of a sheet from one revision to another. */
export interface SheetDelta {
  readonly name: ObjectName;
  /** The delta applies only to the sheet at this revision. */
  readonly fromRevision: number;
  readonly version: number;
  readonly revision: number;
  /** Names (`route/kind`) of the removed rows. */
  readonly removed: readonly string[];
  /** Added and changed rows. */
  readonly rows: readonly SheetRow[];
  /** Edits appended to the history. */
  readonly records: readonly EditRecord[];
}

const isSameCell = (left: unknown, right: unknown): boolean =>
  Array.isArray(left) && Array.isArray(right)
    ? left.length === right.length && left.every((each, index) => each === right[index])
    : left === right;

const COLUMN_NAMES = COLUMNS.map(({ name }) => name);

const isSameRow = (left: RouteRow, right: RouteRow): boolean => {
  for (const name of COLUMN_NAMES) {
    if (!isSameCell(left[name], right[name])) {
      return false;
    }
  }
  return true;
};

const isSameSheetRow = (left: SheetRow | undefined, right: SheetRow): boolean =>
  left !== undefined &&
  left.rowVersion === right.rowVersion &&
  left.writtenBy === right.writtenBy &&
  isSameRow(left.row, right.row);

interface RowChanges {
  readonly rows: readonly SheetRow[];
  readonly removed: readonly string[];
}

/** Compares two lists of rows; `after` must be sorted. */
const diffSheetRows = (before: readonly SheetRow[], after: readonly SheetRow[]): RowChanges => {
  const rows: SheetRow[] = [];
  const removed: string[] = [];
  visitChangedRows(orderRows(before), after, (old, current) => {
    if (current !== undefined && !isSameSheetRow(old, current)) {
      rows.push(current);
    } else if (current === undefined && old !== undefined) {
      removed.push(rowKey(old.row));
    }
  });
  return { rows, removed };
};

/** The edits that `to` appends to the history `from`; undefined if `to` does not continue `from`. */
const findAddedRecords = (
  from: readonly EditRecord[],
  to: readonly EditRecord[],
): readonly EditRecord[] | undefined => {
  const newest = from.at(-1);
  const start = newest === undefined ? 0 : to.findLastIndex(({ edit }) => edit === newest.edit) + 1;
  const added = to.slice(start);
  const expected = [...from, ...added].slice(-NODE_HISTORY_LIMIT);
  const continues =
    expected.length === to.length && expected.every(({ edit }, index) => edit === to[index]?.edit);
  return continues ? added : undefined;
};

/** Computes the delta from `from` to `to`; undefined if the whole sheet must be sent instead. */
export const diffSheet = (from: StoreObject, to: StoreObject): SheetDelta | undefined => {
  if (from.content.type !== 'sheet' || to.content.type !== 'sheet' || from.name !== to.name) {
    return undefined;
  }
  const [before, after] = [from.content.sheet, to.content.sheet];
  const records = findAddedRecords(before.history, after.history);
  if (records === undefined || before.partner !== after.partner || !isOrdered(after.rows)) {
    return undefined;
  }
  const { rows, removed } = diffSheetRows(before.rows, after.rows);
  if (rows.length + removed.length + records.length > DELTA_LIMIT) {
    return undefined;
  }
  const { name, version, revision } = to;
  return { name, fromRevision: from.revision, version, revision, removed, rows, records };
};

const applyToSheet = (sheet: Sheet, delta: SheetDelta): Sheet => ({
  partner: sheet.partner,
  rows: replaceRows(orderRows(sheet.rows), new Set(delta.removed), delta.rows),
  history: [...sheet.history, ...delta.records].slice(-NODE_HISTORY_LIMIT),
});

/** Applies `delta` to `held`; undefined if `held` is not the sheet at the delta's base revision. */
export const applySheetDelta = (
  held: StoreObject | undefined,
  delta: SheetDelta,
): StoreObject | undefined => {
  if (held?.content.type !== 'sheet' || held.revision !== delta.fromRevision) {
    return undefined;
  }
  const { name, version, revision } = delta;
  const sheet = applyToSheet(held.content.sheet, delta);
  return { name, version, revision, content: { type: 'sheet', sheet } };
};
