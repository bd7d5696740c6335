/** Compares the current rows of a sheet with the wanted rows, row by row. */
import { formatCell } from './cell.js';
import { COLUMNS, type ColumnName } from './columns.js';
import type { RowChange } from './edit.js';
import type { RouteRow } from './route-row.js';
import { compareRows, rowKey } from './row-key.js';
import type { SheetRow } from './sheet.js';

/** A column whose value differs, with both values as CSV text. */
export interface CellDifference {
  readonly column: ColumnName;
  readonly from: string;
  readonly to: string;
}

/** A row that differs. */
export type RowDifference =
  | { readonly type: 'added'; readonly row: string; readonly wanted: RouteRow }
  | { readonly type: 'removed'; readonly row: string; readonly current: SheetRow }
  | {
      readonly type: 'changed';
      readonly row: string;
      readonly current: SheetRow;
      readonly wanted: RouteRow;
      readonly cells: readonly CellDifference[];
    };

const diffCells = (from: RouteRow, to: RouteRow): CellDifference[] => {
  const differences: CellDifference[] = [];
  for (const { name } of COLUMNS) {
    // Identical values need no formatting, and most cells are identical.
    const cells =
      from[name] === to[name]
        ? undefined
        : { column: name, from: formatCell(from[name]), to: formatCell(to[name]) };
    if (cells !== undefined && cells.from !== cells.to) {
      differences.push(cells);
    }
  }
  return differences;
};

const diffRow = (wanted: RouteRow, current: SheetRow | undefined): RowDifference[] => {
  const row = rowKey(wanted);
  if (current === undefined) {
    return [{ type: 'added', row, wanted }];
  }
  const cells = diffCells(current.row, wanted);
  return cells.length === 0 ? [] : [{ type: 'changed', row, current, wanted, cells }];
};

/** Whether current rows that are absent from the wanted rows are removed or kept. */
export type UnwantedRows = 'removed' | 'kept';

/** Lists the rows that differ, ordered by partner, route and kind. */
export const diffRows = (
  current: readonly SheetRow[],
  wanted: readonly RouteRow[],
  unwanted: UnwantedRows,
): RowDifference[] => {
  const currentByKey = new Map(current.map((each) => [rowKey(each.row), each]));
  const names = new Set(wanted.map(rowKey));
  const rowOf = (difference: RowDifference): RouteRow =>
    difference.type === 'removed' ? difference.current.row : difference.wanted;
  const removed: RowDifference[] =
    unwanted === 'kept'
      ? []
      : current
          .filter((each) => !names.has(rowKey(each.row)))
          .map((each) => ({ type: 'removed', row: rowKey(each.row), current: each }));
  return [...wanted.flatMap((row) => diffRow(row, currentByKey.get(rowKey(row)))), ...removed].sort(
    (left, right) => compareRows(rowOf(left), rowOf(right)),
  );
};

/**
 * Converts differences to the changes of an edit.
 *
 * @param basedOn - version of the sheet from which the wanted rows were derived. A row that was
 *   written later is sent with this version, so that the node reports a conflict.
 */
export const changesOf = (
  differences: readonly RowDifference[],
  basedOn: number = Number.POSITIVE_INFINITY,
): RowChange[] =>
  differences.map((difference): RowChange => {
    if (difference.type === 'added') {
      return { type: 'set', row: difference.wanted, basedOn: 0 };
    }
    const { rowVersion, row } = difference.current;
    const base = Math.min(rowVersion, basedOn);
    return difference.type === 'changed'
      ? { type: 'set', row: difference.wanted, basedOn: base }
      : { type: 'remove', route: row.route, kind: row.kind, basedOn: base };
  });
