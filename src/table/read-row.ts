/** Validates a row of untrusted JSON. */
import { Left, Right, type Either } from 'purify-ts';
import { defaultOf, describeAllowed, isAllowed, mayBeEmpty, quoteCell } from './cell.js';
import { COLUMNS, type Column } from './columns.js';
import type { Finding } from './finding.js';
import type { RouteRow } from './route-row.js';
import { rowPlace } from './row-key.js';

const COLUMN_NAMES: ReadonlySet<string> = new Set(COLUMNS.map((column) => column.name));

const checkValue = (column: Column, value: unknown, place: string): Finding[] => {
  if (value === undefined && mayBeEmpty(column)) {
    return [];
  }
  if (isAllowed(column, value)) {
    return [];
  }
  const problem = value === undefined ? 'is missing' : `${quoteCell(value)} is not allowed`;
  return [{ severity: 'error', place, problem, allowed: describeAllowed(column) }];
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const rowLabel = (record: Record<string, unknown>, index: string): string => {
  const { route, kind } = record;
  const named = [route, kind].every(
    (part) => typeof part === 'string' && /^[a-z0-9-]+$/.test(part),
  );
  return named ? `${String(route)}/${String(kind)}` : index;
};

const fillDefaults = (record: Record<string, unknown>): RouteRow => {
  const entries = COLUMNS.map((column) => [column.name, record[column.name] ?? defaultOf(column)]);
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined)) as RouteRow;
};

/**
 * Checks every column of `value` and fills in the defaults.
 *
 * @param sheet - name of the sheet or file, used in the places of findings
 * @param index - names the row in places if it has no valid route and kind, e.g. `#3`
 */
export const readRow = (
  value: unknown,
  sheet: string,
  index: string,
): Either<Finding[], RouteRow> => {
  if (!isRecord(value)) {
    return Left([
      { severity: 'error', place: rowPlace(sheet, index), problem: 'is not an object of columns' },
    ]);
  }
  const row = rowLabel(value, index);
  const findings = COLUMNS.flatMap((column) =>
    checkValue(column, value[column.name], rowPlace(sheet, row, column.name)),
  );
  const unknown = Object.keys(value).filter((name) => !COLUMN_NAMES.has(name));
  for (const name of unknown) {
    const place = rowPlace(sheet, row, quoteCell(name));
    findings.push({ severity: 'error', place, problem: 'is no column of the sheet' });
  }
  return findings.length > 0 ? Left(findings) : Right(fillDefaults(value));
};
