/** Titles of columns, derived from their names. */
import { COLUMNS, type Column, type ColumnName } from '../../table/columns.js';

/** The title of a column, e.g. `Safe to repeat` for `safeToRepeat`. */
export const columnTitle = (name: ColumnName): string => {
  const words = name.replace(/Ms$/, '').replace(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
  return words.charAt(0).toUpperCase() + words.slice(1);
};

/** The title with the unit, e.g. `Deadline (ms)`. */
export const columnTitleWithUnit = (column: Column): string => {
  const unit = column.type === 'number' ? column.unit : undefined;
  return unit === 'ms' ? `${columnTitle(column.name)} (ms)` : columnTitle(column.name);
};

/** The columns that an operator fills in; the operator's key determines the partner. */
export const FORM_COLUMNS: readonly Column[] = COLUMNS.filter(({ name }) => name !== 'partner');
