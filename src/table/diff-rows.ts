/** Differences between the rows that stand and the rows that are wanted, row by row. */
import { formatCell } from './cell.js';
import { COLUMNS, type ColumnName } from './columns.js';
import type { RowChange } from './edit.js';
import type { RouteRow } from './route-row.js';
import { compareRows, rowKey } from './row-key.js';
import type { SheetRow } from './sheet.js';

/** One column that differs, both values as they stand in CSV. */
export interface CellDifference {
  readonly column: ColumnName;
  readonly from: string;
  readonly to: string;
}

/** One row that differs. */
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
    // Most cells are the same, and are told so without their texts.
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

/** Whether rows that are not wanted are removed, or left as they are. */
export type UnwantedRows = 'removed' | 'kept';

/** Lists what would change, in the order of the sheet. */
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
 * Turns differences into the changes of an edit.
 *
 * @param basedOn - version of the sheet that the wanted rows were made from. A row written since is
 *   sent with this version, so that the node reports a conflict.
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
