/** Sheets as CSV files: a header of column names and one line per row, in a stable order. */
import { CsvError, parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';
import { Left, Right, type Either } from 'purify-ts';
import { describeAllowed, formatCell, mayBeEmpty, parseCell, quoteCell } from './cell.js';
import { COLUMNS, type Column } from './columns.js';
import type { Finding } from './finding.js';
import type { RouteRow } from './route-row.js';
import { compareRows, rowKey } from './row-key.js';

/** Maximum length of a CSV text, in characters. */
const CSV_TEXT_LIMIT = 16 * 1024 * 1024;

/** The cells of one record. */
type CsvRecord = readonly string[];

/** A parsed CSV file. */
interface CsvFile {
  readonly place: string;
  readonly records: readonly CsvRecord[];
  /** The number of the line on which a record ends. */
  lineOf(record: number): number;
}

/** The position of each column in the file; -1 if the file does not have the column. */
type ColumnPositions = readonly { readonly column: Column; readonly position: number }[];

const COLUMN_NAMES: readonly string[] = COLUMNS.map((column) => column.name);

const errorAt = (place: string, problem: string, allowed?: string): Finding =>
  allowed === undefined
    ? { severity: 'error', place, problem }
    : { severity: 'error', place, problem, allowed };

const PARSE_OPTIONS = { bom: true, relax_column_count: true, skip_empty_lines: true } as const;

interface RecordWithLine {
  readonly info: { readonly lines: number };
}

// The parser counts CR LF within quotes as two lines, so CR LF is replaced first. The cast is needed
// because the types of the parser ignore its option `info`.
const parseWithLines = (text: string): readonly RecordWithLine[] =>
  parse(text.replaceAll('\r\n', '\n'), {
    ...PARSE_OPTIONS,
    info: true,
  }) as unknown as readonly RecordWithLine[];

/** Numbers of the lines that are not empty; in a file without quotes, each of them is a record. */
const listLines = (text: string): readonly number[] =>
  text.split(/\r?\n/).flatMap((line, index) => (line === '' ? [] : [index + 1]));

const findLines = (text: string, records: number): readonly number[] => {
  const lines = text.includes('"') ? [] : listLines(text);
  return lines.length === records ? lines : parseWithLines(text).map(({ info }) => info.lines);
};

/** Creates the lookup of line numbers. They are computed on first use, as only findings need them. */
const createLineLookup = (text: string, records: number): CsvFile['lineOf'] => {
  let lines: readonly number[] | undefined;
  return (record) => {
    lines ??= findLines(text, records);
    return lines[record] ?? 0;
  };
};

const readRecords = (text: string, place: string): Either<Finding[], CsvFile> => {
  if (text.length > CSV_TEXT_LIMIT) {
    return Left([errorAt(place, 'is too large', `at most ${CSV_TEXT_LIMIT} characters`)]);
  }
  try {
    const records = parse(text, PARSE_OPTIONS);
    return Right({ place, records, lineOf: createLineLookup(text, records.length) });
  } catch (error) {
    if (!(error instanceof CsvError)) {
      throw error;
    }
    const lines = (error as { lines?: unknown }).lines;
    const line = typeof lines === 'number' ? `:${lines}` : '';
    return Left([errorAt(`${place}${line}`, error.message)]);
  }
};

const checkHeader = (names: readonly string[], file: CsvFile): Finding[] => {
  const placeOf = (name: string): string => `${file.place}:${file.lineOf(0)} column ${name}`;
  const findings: Finding[] = [];
  names.forEach((name, index) => {
    if (!COLUMN_NAMES.includes(name)) {
      const column = placeOf(quoteCell(name));
      findings.push(errorAt(column, 'is no column of the sheet', COLUMN_NAMES.join(', ')));
    } else if (names.indexOf(name) !== index) {
      findings.push(errorAt(placeOf(name), 'stands twice in the header'));
    }
  });
  for (const column of COLUMNS) {
    if (!names.includes(column.name) && !mayBeEmpty(column)) {
      findings.push(errorAt(placeOf(column.name), 'is missing and has no default'));
    }
  }
  return findings;
};

const listPositions = (names: readonly string[]): ColumnPositions =>
  COLUMNS.map((column) => ({ column, position: names.indexOf(column.name) }));

const hasExtraCells = (record: CsvRecord, width: number): boolean =>
  record.length > width && record.slice(width).some((cell) => cell.trim() !== '');

interface InvalidCell {
  readonly column: Column;
  readonly problem: string;
}

/** Reads the row of a record; Left lists the invalid cells. */
const readCsvRow = (
  record: CsvRecord,
  positions: ColumnPositions,
): Either<InvalidCell[], RouteRow> => {
  const row: Record<string, unknown> = {};
  const wrong: InvalidCell[] = [];
  for (const { column, position } of positions) {
    const cell = parseCell(column, record[position] ?? '');
    if (cell.isLeft()) {
      wrong.push({ column, problem: cell.extract() });
    } else if (cell.extract() !== undefined) {
      row[column.name] = cell.extract();
    }
  }
  return wrong.length > 0 ? Left(wrong) : Right(row as unknown as RouteRow);
};

const invalidCellFindings = (wrong: readonly InvalidCell[], place: string): Finding[] =>
  wrong.map(({ column, problem }) =>
    errorAt(`${place} column ${column.name}`, problem, describeAllowed(column)),
  );

/** Reads all records after the header. */
const readRows = (
  { records, place, lineOf }: CsvFile,
  names: readonly string[],
): Either<Finding[], RouteRow[]> => {
  const positions = listPositions(names);
  const findings: Finding[] = [];
  const seen = new Map<string, number>();
  const rows: RouteRow[] = [];
  const placeOf = (record: number): string => `${place}:${lineOf(record)}`;
  for (let index = 1; index < records.length; index += 1) {
    const record = records[index] ?? [];
    if (hasExtraCells(record, names.length)) {
      const allowed = `${names.length} cells`;
      findings.push(errorAt(placeOf(index), 'has more cells than the header', allowed));
    }
    readCsvRow(record, positions).caseOf({
      Left: (wrong) => findings.push(...invalidCellFindings(wrong, placeOf(index))),
      Right: (row) => {
        const key = `${row.partner}/${rowKey(row)}`;
        const first = seen.get(key);
        if (first !== undefined) {
          const problem = `stands already on line ${lineOf(first)}`;
          findings.push(errorAt(`${placeOf(index)} row ${key}`, problem, 'each row once'));
        }
        seen.set(key, index);
        rows.push(row);
        return rows.length;
      },
    });
  }
  return findings.length > 0 ? Left(findings) : Right(rows);
};

/**
 * Reads a sheet from CSV. Left lists all findings, each with its line and column.
 *
 * @param text - the text of the file; the header may list the columns in any order and omit columns
 *   that have a default
 * @param place - name of the file or sheet, used in the places of findings
 */
export const parseSheetCsv = (text: string, place: string): Either<Finding[], RouteRow[]> =>
  readRecords(text, place).chain((file) => {
    const [header] = file.records;
    if (header === undefined) {
      return Left([errorAt(`${place}:1`, 'has no header', COLUMN_NAMES.join(','))]);
    }
    const names = header.map((name) => name.trim());
    const findings = checkHeader(names, file);
    return findings.length > 0 ? Left(findings) : readRows(file, names);
  });

/** Formats rows as CSV, sorted by partner, route and kind so that files can be compared by line. */
export const formatSheetCsv = (rows: readonly RouteRow[]): string => {
  const records = [...rows]
    .sort(compareRows)
    .map((row) => COLUMNS.map((column) => formatCell(row[column.name])));
  return stringify([[...COLUMN_NAMES], ...records]);
};
