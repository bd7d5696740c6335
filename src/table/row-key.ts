/** Names rows within a sheet, and gives them one stable order. */
import type { RouteRow } from './route-row.js';

/** What names a row within its sheet. */
export type RowName = Pick<RouteRow, 'route' | 'kind'>;

/** `route/kind`, as findings, conflicts and histories name a row. */
export const rowKey = (row: RowName): string => `${row.route}/${row.kind}`;

/** The place of a row, and of one of its columns, in a finding. */
export const rowPlace = (sheet: string, row: string, column?: string): string =>
  column === undefined ? `${sheet} row ${row}` : `${sheet} row ${row} column ${column}`;

const compareText = (left: string, right: string): number => {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
};

/** Orders the rows of one sheet by route and kind; the same on every machine, whatever its locale. */
export const compareRowNames = (left: RowName, right: RowName): number =>
  compareText(left.route, right.route) || compareText(left.kind, right.kind);

/** Orders rows by partner, route and kind. */
export const compareRows = (left: RouteRow, right: RouteRow): number =>
  compareText(left.partner, right.partner) || compareRowNames(left, right);
