/** The history of an object: which edits made it, and what it says of one that comes again. */
import type { EditRequest } from '../../table/edit.js';
import {
  HISTORY_LIMIT,
  RECORDED_ROWS_LIMIT,
  SPREAD_HISTORY_LIMIT,
  type EditRecord,
} from '../../table/sheet.js';
import { hash32 } from '../hash.js';
import type { EditId } from '../identifiers.js';

/** Hashes what an edit does, so that another edit under its id is told apart. */
export const digestEdit = (edit: EditRequest): number =>
  hash32(JSON.stringify([edit.partner, edit.action]));

/** Finds an edit, newest first. */
export const findRecord = (history: readonly EditRecord[], edit: EditId): EditRecord | undefined =>
  history.findLast((record) => record.edit === edit);

/**
 * Whether an edit that saw `seenVersion` may have been applied and dropped from the history since.
 * It can only have produced a later version than it saw, so it is safe to apply while all later
 * versions are still recorded. A history that was given back to a store that lost it has the edits
 * that nodes hold, and may be as short as that.
 */
export const mayBeTruncated = (history: readonly EditRecord[], seenVersion: number): boolean => {
  const oldest = history[0];
  return (
    history.length >= SPREAD_HISTORY_LIMIT &&
    oldest !== undefined &&
    seenVersion + 1 < oldest.sheetVersion
  );
};

/** Adds the record of `edit`, which makes the object's `version`; the oldest falls out. */
export const appendRecord = (
  history: readonly EditRecord[],
  edit: EditRequest,
  rows: readonly string[],
  version: number,
): EditRecord[] => {
  const more = rows.length - RECORDED_ROWS_LIMIT;
  const record: EditRecord = {
    edit: edit.edit,
    operator: edit.operator,
    writtenAt: edit.writtenAt,
    reason: edit.reason,
    rows: rows.slice(0, RECORDED_ROWS_LIMIT),
    ...(more > 0 ? { moreRows: more } : {}),
    digest: digestEdit(edit),
    sheetVersion: version,
  };
  return [...history, record].slice(-HISTORY_LIMIT);
};
