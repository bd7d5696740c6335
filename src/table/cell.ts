/** Cells of a sheet: validates values against their column, and converts them from and to CSV text. */
import { Left, Right, type Either } from 'purify-ts';
import { match } from 'ts-pattern';
import { NAME_LIMIT, SERVICES_LIMIT, type Column, type NumberColumn } from './columns.js';

/** The value of a cell; undefined where an optional cell is empty. */
export type CellValue = string | number | boolean | readonly string[] | undefined;

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]*$/;
const SERVICE_PATTERN = /^[a-z0-9][a-z0-9-]*\*?$/;
const NUMBER_PATTERN = /^[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?$/;
const TRUE_WORDS = ['true', 'yes'];
const FALSE_WORDS = ['false', 'no'];
/** Longest part of an invalid value that a finding quotes, in characters. */
const QUOTE_LIMIT = 40;

/** Quotes and shortens a value so that it fits on one line of a finding. */
export const quoteCell = (value: unknown): string => {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length <= QUOTE_LIMIT ? text : `${text.slice(0, QUOTE_LIMIT)}…`;
};

const isName = (value: unknown): boolean =>
  typeof value === 'string' && value.length <= NAME_LIMIT && NAME_PATTERN.test(value);

const isService = (value: unknown): boolean =>
  typeof value === 'string' && value.length <= NAME_LIMIT && SERVICE_PATTERN.test(value);

const isServiceList = (value: unknown): boolean =>
  Array.isArray(value) &&
  value.length >= 1 &&
  value.length <= SERVICES_LIMIT &&
  value.every(isService) &&
  new Set(value).size === value.length;

const isNumberWithin = (column: NumberColumn, value: unknown): boolean => {
  if (value === undefined) {
    return column.optional === true;
  }
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    return false;
  }
  if (column.integer && !Number.isInteger(value)) {
    return false;
  }
  const aboveBound =
    column.aboveMinimum === true ? value > column.minimum : value >= column.minimum;
  return aboveBound && value <= column.maximum;
};

const describeNumber = (column: NumberColumn): string => {
  const noun = column.integer ? 'a whole number' : 'a number';
  const unit = column.unit === undefined ? '' : ` ${column.unit}`;
  const from = column.aboveMinimum === true ? `above ${column.minimum}` : `${column.minimum}`;
  const range = `${from}${column.aboveMinimum === true ? ', up' : ''} to ${column.maximum}${unit}`;
  return column.optional === true
    ? `${noun}, ${range}, or empty for no limit`
    : `${noun}, ${range}`;
};

/** Describes the values that a column allows, as a short phrase. */
export const describeAllowed = (column: Column): string =>
  match(column)
    .with({ type: 'name' }, () => `a-z, 0-9 and -, at most ${NAME_LIMIT} characters`)
    .with(
      { type: 'services' },
      () => `1 to ${SERVICES_LIMIT} different names, or prefixes ending in *`,
    )
    .with({ type: 'choice' }, ({ choices }) => choices.join(' or '))
    .with({ type: 'number' }, describeNumber)
    .with({ type: 'flag' }, () => 'true or false')
    .exhaustive();

/** Whether `value` is allowed in `column`. */
export const isAllowed = (column: Column, value: unknown): boolean => {
  switch (column.type) {
    case 'name':
      return isName(value);
    case 'services':
      return isServiceList(value);
    case 'choice':
      return typeof value === 'string' && column.choices.includes(value);
    case 'number':
      return isNumberWithin(column, value);
    case 'flag':
      return typeof value === 'boolean';
  }
};

/** The default value of a column; undefined if it has none. */
export const defaultOf = (column: Column): CellValue =>
  'defaultValue' in column ? column.defaultValue : undefined;

/** Whether a cell of this column may be left empty. */
export const mayBeEmpty = (column: Column): boolean =>
  defaultOf(column) !== undefined || (column.type === 'number' && column.optional === true);

const readFlag = (text: string): CellValue => {
  const word = text.toLowerCase();
  if (TRUE_WORDS.includes(word)) {
    return true;
  }
  return FALSE_WORDS.includes(word) ? false : text;
};

const readText = (column: Column, text: string): CellValue => {
  switch (column.type) {
    case 'services':
      return text.split(/\s+/);
    case 'number':
      return NUMBER_PATTERN.test(text) ? Number(text) : text;
    case 'flag':
      return readFlag(text);
    default:
      return text;
  }
};

/** Parses a cell of a CSV file; an empty cell means the default. Left describes the problem. */
export const parseCell = (column: Column, cell: string): Either<string, CellValue> => {
  const text = cell.trim();
  if (text === '') {
    return mayBeEmpty(column) ? Right(defaultOf(column)) : Left('is empty');
  }
  const value = readText(column, text);
  return isAllowed(column, value) ? Right(value) : Left(`${quoteCell(text)} is not allowed`);
};

/** Formats `value` as CSV text; `parseCell` is the inverse. */
export const formatCell = (value: CellValue): string => {
  if (value === undefined) {
    return '';
  }
  return Array.isArray(value) ? value.join(' ') : String(value);
};
