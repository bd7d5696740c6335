/**
 * Decides edits of rows: rebases them onto the current sheet, or returns the errors or conflicts.
 */
import type { EditRequest, RowChange } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import { rowPlace } from '../../table/row-key.js';
import { findRow, orderRows, replaceRows } from '../../table/row-order.js';
import type { Sheet, SheetRow } from '../../table/sheet.js';
import { hasErrors, validateChangedRows } from '../../table/validate-rows.js';
import type { ActionOf, EditContext, EditDecision } from './edit-decision.js';
import { appendRecord } from './edit-history.js';
import { findConflicts, keyOfChange } from './find-conflicts.js';

const findForeignRow = (change: RowChange, edit: EditRequest, place: string): Finding[] =>
  change.type === 'remove' || change.row.partner === edit.partner
    ? []
    : [
        {
          severity: 'error',
          place: rowPlace(place, keyOfChange(change), 'partner'),
          problem: 'is a row of another partner',
          allowed: edit.partner,
        },
      ];

const findDuplicateChanges = (changes: readonly RowChange[], place: string): Finding[] => {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const change of changes) {
    const key = keyOfChange(change);
    if (seen.has(key)) {
      const problem = 'is changed twice by one edit';
      findings.push({ severity: 'error', place: rowPlace(place, key), problem });
    }
    seen.add(key);
  }
  return findings;
};

const findAbsentRows = (
  changes: readonly RowChange[],
  rows: ReadonlyMap<string, SheetRow>,
  place: string,
): Finding[] =>
  changes
    .filter((change) => change.type === 'remove' && change.basedOn === 0)
    .map(keyOfChange)
    .filter((key) => !rows.has(key))
    .map((key) => ({
      severity: 'error',
      place: rowPlace(place, key),
      problem: 'cannot be removed: there is no such row',
    }));

/** Finds the existing rows that the changes refer to, by `route/kind`. */
const findCurrentRows = (
  rows: readonly SheetRow[],
  changes: readonly RowChange[],
): ReadonlyMap<string, SheetRow> => {
  const currentRows = new Map<string, SheetRow>();
  for (const change of changes) {
    const found = findRow(rows, change.type === 'set' ? change.row : change);
    if (found !== undefined) {
      currentRows.set(keyOfChange(change), found);
    }
  }
  return currentRows;
};

const applyChanges = (
  rows: readonly SheetRow[],
  changes: readonly RowChange[],
  operator: string,
  version: number,
): SheetRow[] => {
  const removed = changes.filter(({ type }) => type === 'remove').map(keyOfChange);
  const changed = changes.flatMap((change) =>
    change.type === 'set' ? [{ row: change.row, rowVersion: version, writtenBy: operator }] : [],
  );
  return replaceRows(rows, new Set(removed), changed);
};

/** Decides a change of rows against `sheet`, the content of `context.object`. */
export const decideSheetEdit = (
  edit: EditRequest,
  action: ActionOf<'change-rows'>,
  sheet: Sheet,
  context: EditContext,
): EditDecision => {
  const place = `sheet/${edit.partner}`;
  const { changes } = action;
  const ordered = orderRows(sheet.rows);
  const rows = findCurrentRows(ordered, changes);
  const malformed = [
    ...changes.flatMap((change) => findForeignRow(change, edit, place)),
    ...findDuplicateChanges(changes, place),
    ...findAbsentRows(changes, rows, place),
  ];
  if (malformed.length > 0) {
    return { type: 'refused', findings: malformed };
  }
  const conflicts = findConflicts(edit, changes, rows, sheet.history);
  if (conflicts.length > 0) {
    return { type: 'conflict', conflicts };
  }
  const version = (context.object?.version ?? 0) + 1;
  const changed = applyChanges(ordered, changes, edit.operator, version);
  const keys = changes.map(keyOfChange);
  const setRows = changes.flatMap((change) => (change.type === 'set' ? [change.row] : []));
  const findings = validateChangedRows(changed, setRows, {
    place,
    partner: edit.partner,
    services: context.services,
  });
  if (hasErrors(findings)) {
    return { type: 'refused', findings };
  }
  const history = appendRecord(sheet.history, edit, keys, version);
  const content = {
    type: 'sheet',
    sheet: { partner: edit.partner, rows: changed, history },
  } as const;
  return { type: 'write', content, findings };
};
