/** The query parameters of a table page, and the rows that they select. */
import { identifier, type PartnerId } from '../../core/identifiers.js';
import { compareRows } from '../../table/row-key.js';
import type { SheetRow } from '../../table/sheet.js';

/** Rows on one page. */
export const PAGE_ROWS = 50;
/** Most blank rows offered at once. */
export const BLANK_ROWS_LIMIT = 5;
/** Longest filter, in characters. */
const FILTER_LIMIT = 100;

/** The query of a table page. */
export interface TableQuery {
  readonly partner: PartnerId;
  readonly filter: string;
  /** Page number, from 1. */
  readonly page: number;
  /** Number of blank rows for new rows. */
  readonly blankRows: number;
}

/** The rows that a query selects. */
export interface SelectedRows {
  readonly rows: readonly SheetRow[];
  /** Number of rows that match the filter. */
  readonly matching: number;
  readonly pages: number;
  readonly page: number;
  /** Number of the first row shown, from 1. */
  readonly first: number;
}

const readCount = (text: string | null, fallback: number, maximum: number): number => {
  const count = Number(text ?? '');
  return Number.isSafeInteger(count) && count >= 1 ? Math.min(count, maximum) : fallback;
};

/** Reads the query of a table page; an unknown partner is replaced by the operator's own. */
export const readTableQuery = (
  parameters: URLSearchParams,
  own: PartnerId,
  known: readonly PartnerId[],
): TableQuery => {
  const asked = identifier<PartnerId>(parameters.get('partner') ?? own);
  return {
    partner: known.includes(asked) ? asked : own,
    filter: (parameters.get('filter') ?? '').trim().slice(0, FILTER_LIMIT),
    page: readCount(parameters.get('page'), 1, Number.MAX_SAFE_INTEGER),
    blankRows: readCount(parameters.get('blank'), 0, BLANK_ROWS_LIMIT),
  };
};

/** Formats the path and query of a table page. */
export const tableAddress = (query: TableQuery, changes: Partial<TableQuery> = {}): string => {
  const { partner, filter, page, blankRows } = { ...query, ...changes };
  const parameters = new URLSearchParams({ partner });
  if (filter !== '') {
    parameters.set('filter', filter);
  }
  if (page > 1) {
    parameters.set('page', String(page));
  }
  if (blankRows > 0) {
    parameters.set('blank', String(blankRows));
  }
  return `/table?${parameters.toString()}`;
};

const matches = ({ row }: SheetRow, words: readonly string[]): boolean => {
  const text = `${row.route}/${row.kind} ${row.services.join(' ')}`;
  return words.every((word) => text.includes(word));
};

const sortedRowsCache = new WeakMap<readonly SheetRow[], readonly SheetRow[]>();

/** Sorts the rows of a sheet; the result is cached for as long as the sheet is in force. */
const sortRows = (rows: readonly SheetRow[]): readonly SheetRow[] => {
  const known = sortedRowsCache.get(rows);
  if (known !== undefined) {
    return known;
  }
  const sorted = [...rows].sort((left, right) => compareRows(left.row, right.row));
  sortedRowsCache.set(rows, sorted);
  return sorted;
};

/**
 * Selects the rows of one page, in the order of the CSV export.
 *
 * @param rows - the rows of a sheet in force; their sorted order is cached by this array
 */
export const selectRows = (rows: readonly SheetRow[], query: TableQuery): SelectedRows => {
  const words = query.filter.toLowerCase().split(/\s+/);
  const sorted = sortRows(rows);
  const matching = query.filter === '' ? sorted : sorted.filter((row) => matches(row, words));
  const pages = Math.max(1, Math.ceil(matching.length / PAGE_ROWS));
  const page = Math.min(query.page, pages);
  const start = (page - 1) * PAGE_ROWS;
  return {
    rows: matching.slice(start, start + PAGE_ROWS),
    matching: matching.length,
    pages,
    page,
    first: matching.length === 0 ? 0 : start + 1,
  };
};
