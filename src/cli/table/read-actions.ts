/** Read-only actions of `crossroad table`: show, export, history and diff. */
import { formatSheetCsv } from '../../table/sheet-csv.js';
import { diffRows } from '../../table/diff-rows.js';
import { ExitCode } from '../exit-code.js';
import { getHistory, getTable } from '../operator/operator-client.js';
import { formatDifferences, formatHistory, formatTable } from './format-table.js';
import { reportProblem, printError, printFindings, printOut } from './print.js';
import { findSheet } from './find-sheet.js';
import { readSheetFile } from './read-sheet-file.js';
import { readOperand, type TableArguments } from './table-arguments.js';

/** `show`: prints the sheets and the agreement. */
export const showTable = async (args: TableArguments): Promise<ExitCode> =>
  (await getTable(args.target)).caseOf({
    Left: reportProblem,
    Right: (table) => {
      const { partner } = args;
      const sheets = partner === undefined ? table.sheets : [findSheet(table, partner)];
      const shown = { ...table, sheets };
      printOut(args.json ? JSON.stringify(shown) : formatTable(shown));
      return ExitCode.done;
    },
  });

/** `export`: prints one sheet as CSV. */
export const exportSheet = async (args: TableArguments): Promise<ExitCode> =>
  (await getTable(args.target)).caseOf({
    Left: reportProblem,
    Right: (table) => {
      const sheet = findSheet(table, args.partner);
      const rows = sheet.rows.map(({ row }) => row);
      printOut(args.json ? JSON.stringify(sheet) : formatSheetCsv(rows));
      printError(`sheet/${sheet.partner} version ${sheet.version}`);
      return ExitCode.done;
    },
  });

/** `history`: prints the edits of one sheet. */
export const showHistory = async (args: TableArguments): Promise<ExitCode> => {
  const table = await getTable(args.target);
  const partner = args.partner ?? table.map((each) => each.partner).orDefault('' as never);
  const history = table.isLeft() ? table : await getHistory(args.target, partner);
  return history.caseOf({
    Left: reportProblem,
    Right: (body) => {
      const records = 'history' in body ? body.history : [];
      const found = records.filter(({ edit }) => args.edit === undefined || edit === args.edit);
      const shown = found.slice(-(args.last ?? found.length));
      printOut(args.json ? JSON.stringify(shown) : formatHistory(shown));
      if ('olderMissing' in body) {
        printError('The store did not answer; older edits are not shown.');
      }
      return args.edit !== undefined && found.length === 0 ? ExitCode.failed : ExitCode.done;
    },
  });
};

/** `diff`: prints the changes that applying a file would make. */
export const diffSheet = async (args: TableArguments): Promise<ExitCode> => {
  const file = readOperand(args, 'CSV file');
  return (await getTable(args.target)).caseOf({
    Left: reportProblem,
    Right: (table) =>
      readSheetFile(file, table.partner).caseOf<ExitCode>({
        Left: (findings) => {
          printFindings(findings);
          return ExitCode.badSettings;
        },
        Right: ({ rows, warnings }) => {
          printFindings(warnings);
          const differences = diffRows(findSheet(table, undefined).rows, rows, 'removed');
          printOut(args.json ? JSON.stringify(differences) : formatDifferences(differences));
          return ExitCode.done;
        },
      }),
  });
};
