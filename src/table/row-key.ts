/** Names and order of rows within a sheet. */
import type { RouteRow } from './route-row.js';

/** The columns that identify a row within its sheet. */
export type RowName = Pick<RouteRow, 'route' | 'kind'>;

/** The name `route/kind` of a row in findings, conflicts and histories. */
export const rowKey = (row: RowName): string => `${row.route}/${row.kind}`;

/** Formats the place of a row, or of one of its columns, for a finding. */
export const rowPlace = (sheet: string, row: string, column?: string): string =>
  column === undefined ? `${sheet} row ${row}` : `${sheet} row ${row} column ${column}`;

const compareText = (left: string, right: string): number => {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
};

/** Compares rows of one sheet by route and kind, independently of the locale. */
export const compareRowNames = (left: RowName, right: RowName): number =>
  compareText(left.route, right.route) || compareText(left.kind, right.kind);

/** Compares rows by partner, route and kind. */
export const compareRows = (left: RouteRow, right: RouteRow): number =>
  compareText(left.partner, right.partner) || compareRowNames(left, right);
