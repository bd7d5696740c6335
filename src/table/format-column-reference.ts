/** Generates the reference page of the sheet's columns, as Markdown. */
import { defaultOf, describeAllowed, formatCell, mayBeEmpty } from './cell.js';
import { COLUMNS, type Column } from './columns.js';

const describeDefault = (column: Column): string => {
  const value = defaultOf(column);
  if (value !== undefined) {
    return `\`${formatCell(value)}\``;
  }
  return mayBeEmpty(column) ? 'empty: no limit' : 'none, the cell must be filled';
};

const formatColumn = (column: Column): string =>
  [
    `## \`${column.name}\``,
    column.help,
    `- Allowed: ${describeAllowed(column)}\n- Default: ${describeDefault(column)}`,
  ].join('\n\n');

const INTRODUCTION = [
  '# Columns of a sheet',
  'Generated from `src/table/columns.ts`; do not edit by hand.',
  'A sheet has one row for each kind of request on a route. The names below are the header in CSV and the fields in JSON. In CSV the columns may stand in any order, and those with a default may be left out.',
];

/** Formats the reference page. */
export const formatColumnReference = (): string =>
  `${[...INTRODUCTION, ...COLUMNS.map(formatColumn)].join('\n\n')}\n`;
