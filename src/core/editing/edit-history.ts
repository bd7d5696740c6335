/**
 * The history of an object: the edits applied to it, by which repeated deliveries are recognised.
 */
import type { EditRequest } from '../../table/edit.js';
import {
  HISTORY_LIMIT,
  RECORDED_ROWS_LIMIT,
  NODE_HISTORY_LIMIT,
  type EditRecord,
} from '../../table/sheet.js';
import { hash32 } from '../hash.js';
import type { EditId } from '../identifiers.js';

/** Hashes the content of an edit, to detect another edit with the same id. */
export const digestEdit = (edit: EditRequest): number =>
  hash32(JSON.stringify([edit.partner, edit.action]));

/** Finds the newest record of an edit. */
export const findRecord = (history: readonly EditRecord[], edit: EditId): EditRecord | undefined =>
  history.findLast((record) => record.edit === edit);

/**
 * Whether an edit that saw `seenVersion` may have been applied and then dropped from the history.
 * It can only have produced a version later than the one it saw, so it is safe to apply while all
 * later versions are recorded. The limit is that of the histories held by nodes, because a restored
 * store may have got its history back from a node.
 */
export const mayBeTruncated = (history: readonly EditRecord[], seenVersion: number): boolean => {
  const oldest = history[0];
  return (
    history.length >= NODE_HISTORY_LIMIT &&
    oldest !== undefined &&
    seenVersion + 1 < oldest.sheetVersion
  );
};

/** Appends the record of `edit`, which creates `version` of the object; drops the oldest record. */
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
