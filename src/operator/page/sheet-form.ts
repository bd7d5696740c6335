/**
 * The form that edits rows of a sheet: its initial content, and parsing of the submitted fields.
 */
import { createHash } from 'node:crypto';
import { defaultOf, formatCell } from '../../table/cell.js';
import type { ColumnName } from '../../table/columns.js';
import type { RouteRow } from '../../table/route-row.js';
import type { SheetRow } from '../../table/sheet.js';
import { FORM_COLUMNS } from './column-title.js';

/** Most rows in one form. */
const FORM_ROW_LIMIT = 60;

/** The texts of a row's cells. */
export type CellTexts = Readonly<Record<ColumnName, string>>;

/** One row of the form. */
export interface FormRow {
  readonly cells: CellTexts;
  /** Version of the row when the form was created; 0 for a new row. */
  readonly basedOn: number;
  /** Digest of the cells as first shown; the row was edited if its cells have another digest. */
  readonly shown: string;
  readonly removed: boolean;
  readonly writtenBy: string;
}

/** A sheet form with its rows. */
export interface SheetForm {
  /** Id of the edit; a form that is sent twice is one edit. */
  readonly edit: string;
  readonly reason: string;
  /** Version of the sheet when the form was created. */
  readonly seenVersion: number;
  readonly rows: readonly FormRow[];
}

const textsOf = (read: (name: ColumnName) => string): CellTexts => {
  const entries = FORM_COLUMNS.map(({ name }) => [name, read(name)]);
  return Object.fromEntries(entries) as CellTexts;
};

const digestOf = (cells: CellTexts): string =>
  createHash('sha256')
    .update(JSON.stringify(FORM_COLUMNS.map(({ name }) => cells[name])))
    .digest('base64url');

/** Formats a row's values as the texts of its cells. */
export const formatCells = (row: RouteRow): CellTexts => textsOf((name) => formatCell(row[name]));

/** Creates the form row of an existing row. */
export const createFormRow = ({ row, rowVersion, writtenBy }: SheetRow): FormRow => {
  const cells = formatCells(row);
  return { cells, basedOn: rowVersion, shown: digestOf(cells), removed: false, writtenBy };
};

/** Creates the form row of a new row, filled with defaults. */
export const createBlankRow = (): FormRow => {
  const defaults = new Map(FORM_COLUMNS.map((column) => [column.name, defaultOf(column)]));
  const cells = textsOf((name) => formatCell(defaults.get(name)));
  return { cells, basedOn: 0, shown: digestOf(cells), removed: false, writtenBy: '' };
};

/** Whether the operator changed anything in the row. */
export const isEdited = (row: FormRow): boolean => row.removed || digestOf(row.cells) !== row.shown;

/** Name of a form field of the row at `position`. */
export const fieldName = (position: number, field: string): string =>
  `rows.${String(position)}.${field}`;

const readVersion = (text: string | null): number => {
  const version = Number(text ?? '');
  return Number.isSafeInteger(version) && version >= 0 ? version : 0;
};

const readFormRow = (fields: URLSearchParams, position: number): FormRow => ({
  cells: textsOf((name) => fields.get(fieldName(position, name)) ?? ''),
  basedOn: readVersion(fields.get(fieldName(position, 'based-on'))),
  shown: fields.get(fieldName(position, 'shown')) ?? '',
  removed: fields.get(fieldName(position, 'removed')) === 'yes',
  writtenBy: fields.get(fieldName(position, 'written-by')) ?? '',
});

const isIncluded = (fields: URLSearchParams, position: number): boolean =>
  fields.has(fieldName(position, 'based-on')) &&
  fields.get(fieldName(position, 'resolve')) !== 'theirs';

/**
 * Reads a submitted form. Rows in conflict for which the operator kept the current value are left
 * out.
 */
export const readSheetForm = (fields: URLSearchParams): SheetForm => {
  const positions = Array.from({ length: FORM_ROW_LIMIT }, (_, position) => position);
  return {
    edit: fields.get('edit') ?? '',
    reason: fields.get('reason') ?? '',
    seenVersion: readVersion(fields.get('seen-version')),
    rows: positions
      .filter((position) => isIncluded(fields, position))
      .map((position) => readFormRow(fields, position)),
  };
};
