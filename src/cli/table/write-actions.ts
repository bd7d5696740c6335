/** Actions of `crossroad table` that change rows: import, apply, set and remove. */
import type { SheetBody, TableBody } from '../../operator-protocol/table-body.js';
import { parseCell } from '../../table/cell.js';
import { COLUMNS, type ColumnName } from '../../table/columns.js';
import { changesOf, diffRows, type UnwantedRows } from '../../table/diff-rows.js';
import type { RowChange } from '../../table/edit.js';
import type { RouteRow } from '../../table/route-row.js';
import { readRow } from '../../table/read-row.js';
import { rowKey } from '../../table/row-key.js';
import type { SheetRow } from '../../table/sheet.js';
import { ExitCode } from '../exit-code.js';
import { UsageError } from '../flags.js';
import { getTable } from '../operator/operator-client.js';
import { formatDifferences } from './format-table.js';
import { findSheet } from './find-sheet.js';
import { reportProblem, printError, printFindings } from './print.js';
import { readSheetFile } from './read-sheet-file.js';
import { sendEdit } from './send-edit.js';
import { readOperand, readReason, type TableArguments } from './table-arguments.js';

const ROW_FORM = 'row as route/kind';

const sendChanges = async (
  args: TableArguments,
  changes: readonly RowChange[],
  seenVersion: number,
): Promise<ExitCode> => {
  if (changes.length === 0) {
    printError('nothing to change');
    return ExitCode.done;
  }
  return sendEdit(args, { type: 'change-rows', changes }, seenVersion);
};

const withOwnSheet = async (
  args: TableArguments,
  action: (sheet: SheetBody, table: TableBody) => Promise<ExitCode>,
): Promise<ExitCode> => {
  const table = await getTable(args.target);
  return table.caseOf<Promise<ExitCode> | ExitCode>({
    Left: reportProblem,
    Right: (body) => action(findSheet(body, undefined), body),
  });
};

const sendFileChanges = (args: TableArguments, unwanted: UnwantedRows): Promise<ExitCode> => {
  const file = readOperand(args, 'CSV file');
  readReason(args);
  return withOwnSheet(args, async (sheet, table) =>
    readSheetFile(file, table.partner).caseOf<Promise<ExitCode> | ExitCode>({
      Left: (findings) => {
        printFindings(findings);
        return ExitCode.badSettings;
      },
      Right: ({ rows }) => {
        const differences = diffRows(sheet.rows, rows, unwanted);
        printError(formatDifferences(differences));
        const changes = changesOf(differences, args.basedOn);
        return sendChanges(args, changes, args.basedOn ?? sheet.version);
      },
    }),
  );
};

/** `import`: adds or changes the rows of a file; other rows are kept. */
export const importSheet = (args: TableArguments): Promise<ExitCode> =>
  sendFileChanges(args, 'kept');

/** `apply`: replaces the sheet by the rows of a file; other rows are removed. */
export const applySheet = (args: TableArguments): Promise<ExitCode> =>
  sendFileChanges(args, 'removed');

const readCell = (text: string): { readonly name: ColumnName; readonly cell: string } => {
  const equals = text.indexOf('=');
  const name = text.slice(0, Math.max(equals, 0));
  const column = COLUMNS.find((each) => each.name === name);
  if (column === undefined || column.name === 'partner') {
    const names = COLUMNS.map((each) => each.name).filter((each) => each !== 'partner');
    throw new UsageError(`"${text}" must be column=value with a column of ${names.join(', ')}`);
  }
  return { name: column.name, cell: text.slice(equals + 1) };
};

const readValue = (name: ColumnName, cell: string): unknown => {
  const column = COLUMNS.find((each) => each.name === name);
  // A cell that cannot be parsed is passed on as text, so that the validation of the row reports it.
  return column === undefined ? cell : parseCell(column, cell).orDefault(cell);
};

const parseRowKey = (text: string): { readonly route: string; readonly kind: string } => {
  const [route, kind, ...rest] = text.split('/');
  if (!route || !kind || rest.length > 0) {
    throw new UsageError(`expected a ${ROW_FORM}`);
  }
  return { route, kind };
};

const findRow = (sheet: SheetBody, name: string): SheetRow | undefined =>
  sheet.rows.find((each) => rowKey(each.row) === name);

const buildRow = (
  sheet: SheetBody,
  current: RouteRow | undefined,
  name: string,
  cells: readonly string[],
): unknown => {
  const given = cells
    .map(readCell)
    .map(({ name: column, cell }) => [column, readValue(column, cell)]);
  const { partner } = sheet;
  return { ...current, partner, ...parseRowKey(name), ...Object.fromEntries(given) };
};

/** `set`: changes columns of a row, or creates the row. */
export const setRow = (args: TableArguments): Promise<ExitCode> => {
  const [name, ...cells] = args.operands;
  if (name === undefined || cells.length === 0) {
    throw new UsageError(`expected a ${ROW_FORM}, then column=value`);
  }
  readReason(args);
  parseRowKey(name);
  cells.forEach(readCell);
  return withOwnSheet(args, async (sheet) => {
    const current = findRow(sheet, name);
    const read = readRow(
      buildRow(sheet, current?.row, name, cells),
      `sheet/${sheet.partner}`,
      name,
    );
    return read.caseOf<Promise<ExitCode> | ExitCode>({
      Left: (findings) => {
        printFindings(findings);
        return ExitCode.badSettings;
      },
      Right: (row) => {
        const basedOn = args.basedOn ?? current?.rowVersion ?? 0;
        return sendChanges(args, [{ type: 'set', row, basedOn }], sheet.version);
      },
    });
  });
};

/** `remove`: removes a row. */
export const removeRow = (args: TableArguments): Promise<ExitCode> => {
  const name = readOperand(args, ROW_FORM);
  readReason(args);
  parseRowKey(name);
  return withOwnSheet(args, async (sheet) => {
    const current = findRow(sheet, name);
    if (current === undefined) {
      printError(`crossroad table: sheet/${sheet.partner} has no row ${name}`);
      return ExitCode.failed;
    }
    const { route, kind } = current.row;
    const basedOn = args.basedOn ?? current.rowVersion;
    return sendChanges(args, [{ type: 'remove', route, kind, basedOn }], sheet.version);
  });
};
