/** Formats the table as text for a terminal. */
import CliTable from 'cli-table3';
import type { HistoryBody, SheetBody, TableBody } from '../../operator-protocol/table-body.js';
import type { RouteRow } from '../../table/route-row.js';
import { compareRows, rowKey } from '../../table/row-key.js';
import type { RowDifference } from '../../table/diff-rows.js';
import { replaceControlCharacters } from './print.js';

const HEAD = ['row', 'services', 'merge', 'weight', 'deadline', 'coverage', 'repeat'];
const MORE_HEAD = ['limits', 'extra load', 'snapshot', 'version', 'written by'];
const PLAIN = { style: { head: [], border: [] } };

const describeLimits = ({ concurrentLimit, perSecondLimit }: RouteRow): string => {
  const limits = [
    ...(concurrentLimit === undefined ? [] : [`${concurrentLimit} at once`]),
    ...(perSecondLimit === undefined ? [] : [`${perSecondLimit}/s`]),
  ];
  return limits.length === 0 ? 'none' : limits.join(', ');
};

const describeRow = ({ row, rowVersion, writtenBy }: SheetBody['rows'][number]): string[] => [
  rowKey(row),
  `${row.services.join(' ')} (${row.fanOut})`,
  `${row.merge} ${row.maxItems}`,
  String(row.weight),
  `${row.deadlineMs} ms`,
  String(row.coverage),
  row.safeToRepeat ? 'safe' : 'at most once',
  describeLimits(row),
  `${row.extraLoadLimit}${row.hedging ? ', hedged' : ''}`,
  row.snapshotPolicy,
  String(rowVersion),
  writtenBy,
];

const formatSheet = (sheet: SheetBody): string => {
  const table = new CliTable({ head: [...HEAD, ...MORE_HEAD], ...PLAIN });
  const rows = [...sheet.rows].sort((left, right) => compareRows(left.row, right.row));
  table.push(...rows.map(describeRow));
  const title = `sheet/${sheet.partner}, version ${sheet.version}, revision ${sheet.revision}`;
  return `${title}\n${table.toString()}`;
};

const formatShares = (shares: TableBody['agreement']['shares']): string =>
  shares.map(({ partner, share }) => `${partner}=${share}`).join(' ');

/** Formats the agreement with its proposals. */
const formatAgreement = ({ version, shares, proposals }: TableBody['agreement']): string => {
  const inForce = shares.length === 0 ? 'none in force' : formatShares(shares);
  const lines = proposals.map(
    (each) =>
      `  proposal ${each.proposal} by ${each.proposedBy}: ${formatShares(each.shares)}, approved by ${each.approvedBy.join(' and ')}`,
  );
  return [`agreement, version ${version}: ${inForce}`, ...lines].join('\n');
};

/** Formats the sheets and the agreement. */
export const formatTable = (table: TableBody): string =>
  [...table.sheets.map(formatSheet), formatAgreement(table.agreement)].join('\n\n');

/** Formats a history, newest last. */
export const formatHistory = (records: HistoryBody['history']): string => {
  const table = new CliTable({
    head: ['version', 'when', 'who', 'rows', 'why', 'edit'],
    ...PLAIN,
  });
  for (const record of records) {
    const more = record.moreRows === undefined ? '' : ` and ${record.moreRows} more`;
    table.push([
      String(record.sheetVersion),
      new Date(record.writtenAt).toISOString(),
      replaceControlCharacters(record.operator),
      `${record.rows.join('\n')}${more}`,
      replaceControlCharacters(record.reason),
      record.edit,
    ]);
  }
  return table.toString();
};

const formatDifference = (difference: RowDifference): string => {
  switch (difference.type) {
    case 'added':
      return `+ ${difference.row}`;
    case 'removed':
      return `- ${difference.row} (version ${difference.current.rowVersion} by ${difference.current.writtenBy})`;
    case 'changed': {
      const { row, current, cells } = difference;
      const lines = cells.map(
        ({ column, from, to }) => `    ${column}: ${from || 'empty'} -> ${to || 'empty'}`,
      );
      return [`~ ${row} (version ${current.rowVersion} by ${current.writtenBy})`, ...lines].join(
        '\n',
      );
    }
  }
};

/** Formats differences, row by row. */
export const formatDifferences = (differences: readonly RowDifference[]): string =>
  differences.length === 0
    ? 'no difference'
    : differences.map((difference) => formatDifference(difference)).join('\n');
