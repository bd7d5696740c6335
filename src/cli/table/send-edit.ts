/** Sends an edit, prints its outcome and, with --wait, waits until it is in force. */
import { randomUUID } from 'node:crypto';
import { identifier, type EditId } from '../../core/identifiers.js';
import type { EditBody } from '../../operator-protocol/edit-body.js';
import { formatCell } from '../../table/cell.js';
import { COLUMNS } from '../../table/columns.js';
import type { EditAction, EditConflict, EditOutcome } from '../../table/edit.js';
import type { RouteRow } from '../../table/route-row.js';
import { ExitCode } from '../exit-code.js';
import { postEdit } from '../operator/operator-client.js';
import { exitCodeOf, reportProblem, printError, printFindings, printOut } from './print.js';
import { readReason, type TableArguments } from './table-arguments.js';
import { waitUntilInForce } from './wait-until-in-force.js';

const formatRow = (row: RouteRow, other: RouteRow | undefined): string =>
  COLUMNS.map(({ name }) => ({
    name,
    text: formatCell(row[name]),
    otherText: other && formatCell(other[name]),
  }))
    .filter(({ text, otherText }) => text !== otherText)
    .map(({ name, text }) => `${name}=${text || 'empty'}`)
    .join(' ');

const formatConflict = ({ row, current, wanted, wantedBy }: EditConflict): string => {
  const wantedRow = wanted.type === 'set' ? wanted.row : undefined;
  const theirs =
    current === undefined
      ? 'it has been removed'
      : `version ${current.rowVersion} by ${current.writtenBy}: ${formatRow(current.row, wantedRow) || 'the same values'}`;
  const ours = wantedRow === undefined ? 'remove it' : formatRow(wantedRow, current?.row);
  return [
    `conflict on row ${row}, which was changed since version ${wanted.basedOn}`,
    `  current: ${theirs}`,
    `  requested by ${wantedBy}: ${ours || 'the same values'}`,
  ].join('\n');
};

const printOutcome = (outcome: EditOutcome): ExitCode => {
  switch (outcome.type) {
    case 'accepted':
      printFindings(outcome.findings);
      printError(`accepted: version ${outcome.version}, revision ${outcome.revision}`);
      return ExitCode.done;
    case 'refused':
      printError('refused; nothing was changed');
      printFindings(outcome.findings);
      return exitCodeOf(outcome.findings);
    case 'conflict':
      printError('refused; nothing was changed');
      outcome.conflicts.forEach((conflict) => {
        printError(formatConflict(conflict));
      });
      return ExitCode.failed;
    case 'expired':
      printError(`not applied: ${outcome.problem}`);
      return ExitCode.failed;
    case 'unknown':
      printError(`unknown: ${outcome.problem}; look for ${outcome.edit} in the history`);
      return ExitCode.failed;
  }
};

const createBody = (args: TableArguments, action: EditAction, seenVersion: number): EditBody => ({
  edit: identifier<EditId>(args.edit ?? randomUUID()),
  reason: readReason(args),
  seenVersion,
  action,
});

const reportOutcome = async (args: TableArguments, outcome: EditOutcome): Promise<ExitCode> => {
  const code = printOutcome(outcome);
  if (outcome.type !== 'accepted' || args.waitMs === 0) {
    if (args.json) {
      printOut(JSON.stringify({ outcome }));
    }
    return code;
  }
  const waited = await waitUntilInForce(args.target, outcome.revision, args.waitMs);
  if (args.json) {
    printOut(JSON.stringify({ outcome, inForce: waited }));
  }
  if (waited.missing.length === 0 && waited.problem === undefined) {
    printError(`in force on all ${waited.nodes} live nodes after ${waited.elapsedMs} ms`);
    return ExitCode.done;
  }
  if (waited.problem !== undefined) {
    printError(`cannot determine whether the edit is in force: ${waited.problem}`);
  }
  for (const { node, zone, revision } of waited.missing) {
    const held = revision === null ? 'has not reported its revision' : `holds revision ${revision}`;
    printError(`not in force on ${node} in ${zone}, which ${held}`);
  }
  return ExitCode.failed;
};

/**
 * Sends an edit and prints its outcome.
 *
 * @param seenVersion - version of the object on which the edit is based
 */
export const sendEdit = async (
  args: TableArguments,
  action: EditAction,
  seenVersion: number,
): Promise<ExitCode> => {
  const body = createBody(args, action, seenVersion);
  const answer = await postEdit(args.target, body);
  return answer.caseOf<Promise<ExitCode> | ExitCode>({
    Left: (problem) => {
      if (problem.isRetryable) {
        printError(`unknown: edit ${body.edit} may have been applied; look for it in the history`);
      }
      return reportProblem(problem);
    },
    Right: (outcome) => reportOutcome(args, outcome),
  });
};
