/** Conflicts: changes based on a row that has been written or removed since. */
import type { EditConflict, EditRequest, RowChange } from '../../table/edit.js';
import { rowKey } from '../../table/row-key.js';
import type { EditRecord, SheetRow } from '../../table/sheet.js';

/** `route/kind` of the row that a change is about. */
export const keyOfChange = (change: RowChange): string =>
  change.type === 'set' ? rowKey(change.row) : rowKey(change);

const mayAffect = (record: EditRecord, key: string): boolean =>
  record.moreRows !== undefined || record.rows.includes(key);

/**
 * Whether a row that does not stand has, or may have, come and gone since `seenVersion`. A change
 * that creates a row conflicts then: otherwise two deliveries of one edit, one of which came while
 * the row stood, would be told different outcomes.
 */
const mayHaveExisted = (
  key: string,
  history: readonly EditRecord[],
  seenVersion: number,
): boolean => history.some((record) => record.sheetVersion > seenVersion && mayAffect(record, key));

const isBasedOnCurrent = (
  change: RowChange,
  current: SheetRow | undefined,
  history: readonly EditRecord[],
  seenVersion: number,
): boolean =>
  current === undefined
    ? change.basedOn === 0 && !mayHaveExisted(keyOfChange(change), history, seenVersion)
    : change.basedOn === current.rowVersion;

/**
 * Lists the changes that are not based on the row as it stands. Once an edit conflicts, it always
 * will: row versions only grow, and what the history no longer holds is told as expired.
 *
 * @param rows - the rows that stand, by `route/kind`
 */
export const findConflicts = (
  edit: EditRequest,
  changes: readonly RowChange[],
  rows: ReadonlyMap<string, SheetRow>,
  history: readonly EditRecord[],
): EditConflict[] =>
  changes.flatMap((wanted): EditConflict[] => {
    const row = keyOfChange(wanted);
    const current = rows.get(row);
    if (isBasedOnCurrent(wanted, current, history, edit.seenVersion)) {
      return [];
    }
    const wantedBy = edit.operator;
    return [current === undefined ? { row, wanted, wantedBy } : { row, current, wanted, wantedBy }];
  });
