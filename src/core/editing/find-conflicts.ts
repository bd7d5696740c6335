/** Conflicts: changes based on a row that has been written or removed in the meantime. */
import type { EditConflict, EditRequest, RowChange } from '../../table/edit.js';
import { rowKey } from '../../table/row-key.js';
import type { EditRecord, SheetRow } from '../../table/sheet.js';

/** Returns the key, `route/kind`, of the row that a change refers to. */
export const keyOfChange = (change: RowChange): string =>
  change.type === 'set' ? rowKey(change.row) : rowKey(change);

const mayAffect = (record: EditRecord, key: string): boolean =>
  record.moreRows !== undefined || record.rows.includes(key);

/**
 * Whether a row that does not exist has, or may have, been created and removed since
 * `seenVersion`. A change that creates the row then conflicts. Otherwise two deliveries of one edit
 * could have different outcomes, if one of them arrived while the row existed.
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
 * Lists the changes that are not based on the current row. An edit that conflicts once always will,
 * because row versions only grow and edits older than the history are answered as expired.
 *
 * @param rows - the current rows, by `route/kind`
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
