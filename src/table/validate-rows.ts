/** Validates the rows of a sheet and reports all findings, each with sheet, row and column. */
import type { PartnerId } from '../core/identifiers.js';
import type { BackendService } from './backend-service.js';
import { describeAllowed, isAllowed, mayBeEmpty, quoteCell } from './cell.js';
import { COLUMNS } from './columns.js';
import type { Finding } from './finding.js';
import { findRowWarnings } from './row-warnings.js';
import type { RouteRow } from './route-row.js';
import { createRowContext, type RowContext } from './row-context.js';
import { rowKey, rowPlace } from './row-key.js';
import type { SheetRow } from './sheet.js';

/** Maximum number of rows of a sheet. */
export const ROWS_LIMIT = 20_000;

/** Context against which a sheet is validated. */
export interface SheetCheck {
  /** Name of the sheet or file, used in the places of findings. */
  readonly place: string;
  /** Owner of the sheet; rows of other partners are errors. */
  readonly partner: PartnerId;
  /** The partner's services; absent if unknown, as in an offline check. */
  readonly services?: readonly BackendService[] | undefined;
}

const findInvalidCells = (row: RouteRow, place: string): Finding[] => {
  const findings: Finding[] = [];
  for (const column of COLUMNS) {
    const value = row[column.name];
    const empty = value === undefined && column.type === 'number' && mayBeEmpty(column);
    if (!empty && !isAllowed(column, value)) {
      findings.push({
        severity: 'error',
        place: rowPlace(place, rowKey(row), column.name),
        problem: `${quoteCell(value)} is not allowed`,
        allowed: describeAllowed(column),
      });
    }
  }
  return findings;
};

const findForeignRow = (row: RouteRow, check: SheetCheck): Finding[] =>
  row.partner === check.partner
    ? []
    : [
        {
          severity: 'error',
          place: rowPlace(check.place, rowKey(row), 'partner'),
          problem: `${quoteCell(row.partner)} is another partner's`,
          allowed: check.partner,
        },
      ];

const findDuplicate = (row: RouteRow, seen: Set<string>, place: string): Finding[] => {
  const key = rowKey(row);
  if (!seen.has(key)) {
    seen.add(key);
    return [];
  }
  return [
    {
      severity: 'error',
      place: rowPlace(place, key),
      problem: 'stands twice',
      allowed: 'each row once',
    },
  ];
};

const warningFindings = (row: RouteRow, context: RowContext, place: string): Finding[] =>
  findRowWarnings(row, context).map(({ column, problem }) => ({
    severity: 'warning',
    place: rowPlace(place, rowKey(row), column),
    problem,
  }));

interface RowErrors {
  readonly errors: readonly Finding[];
  /** Rows without invalid cells that belong to the owner of the sheet. */
  readonly valid: readonly RouteRow[];
}

const findErrors = (rows: readonly RouteRow[], check: SheetCheck): RowErrors => {
  const errors: Finding[] = [];
  const valid: RouteRow[] = [];
  const seen = new Set<string>();
  for (const row of rows) {
    const wrong = [...findInvalidCells(row, check.place), ...findForeignRow(row, check)];
    errors.push(...findDuplicate(row, seen, check.place), ...wrong);
    if (wrong.length === 0) {
      valid.push(row);
    }
  }
  return { errors, valid };
};

const findExcessRows = (rows: number, place: string): Finding[] =>
  rows <= ROWS_LIMIT
    ? []
    : [
        {
          severity: 'error',
          place,
          problem: `has ${rows} rows`,
          allowed: `at most ${ROWS_LIMIT} rows`,
        },
      ];

/** Validates all rows of a sheet; errors precede warnings in the result. */
export const validateRows = (rows: readonly RouteRow[], check: SheetCheck): Finding[] => {
  const excess = findExcessRows(rows.length, check.place);
  if (excess.length > 0) {
    return excess;
  }
  const { errors, valid } = findErrors(rows, check);
  const context = createRowContext(valid, valid, check.services);
  return [...errors, ...valid.flatMap((row) => warningFindings(row, context, check.place))];
};

/**
 * Validates only the rows that an edit changed, using the other rows as context. The other rows were
 * validated when they were written.
 *
 * @param rows - all rows of the sheet, without duplicates
 * @param changed - the new and changed rows among them
 */
export const validateChangedRows = (
  rows: readonly SheetRow[],
  changed: readonly RouteRow[],
  check: SheetCheck,
): Finding[] => {
  const excess = findExcessRows(rows.length, check.place);
  if (excess.length > 0) {
    return excess;
  }
  const { errors, valid } = findErrors(changed, check);
  const invalid = new Set(changed);
  valid.forEach((row) => invalid.delete(row));
  const usable = rows.map(({ row }) => row).filter((row) => !invalid.has(row));
  const context = createRowContext(usable, valid, check.services);
  return [...errors, ...valid.flatMap((row) => warningFindings(row, context, check.place))];
};

/** Whether any finding is an error; the whole input must then be refused. */
export const hasErrors = (findings: readonly Finding[]): boolean =>
  findings.some((finding) => finding.severity === 'error');
