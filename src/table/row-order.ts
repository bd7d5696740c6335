/**
 * Sheets in the order of their rows: finding, replacing and comparing rows without building an index,
 * so that an edit of one row costs little in a long sheet, and rows that stay are shared.
 */
import { compareRowNames, rowKey, type RowName } from './row-key.js';
import type { SheetRow } from './sheet.js';

/** Whether rows are by route and kind, each once. */
export const isOrdered = (rows: readonly SheetRow[]): boolean => {
  for (let index = 1; index < rows.length; index += 1) {
    const [before, after] = [rows[index - 1], rows[index]];
    if (
      before !== undefined &&
      after !== undefined &&
      compareRowNames(before.row, after.row) >= 0
    ) {
      return false;
    }
  }
  return true;
};

/** The rows by route and kind, each once; `rows` itself where it is in this order already. */
export const orderRows = (rows: readonly SheetRow[]): readonly SheetRow[] =>
  isOrdered(rows)
    ? rows
    : [...new Map(rows.map((each) => [rowKey(each.row), each])).values()].sort((left, right) =>
        compareRowNames(left.row, right.row),
      );

/** Position of the first row that does not stand before `name`. */
const findInsertionIndex = (rows: readonly SheetRow[], name: RowName): number => {
  let [low, high] = [0, rows.length];
  while (low < high) {
    const middle = (low + high) >>> 1;
    const row = rows[middle]?.row;
    if (row !== undefined && compareRowNames(row, name) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};

/** Finds a row in `rows`, which are in order. */
export const findRow = (rows: readonly SheetRow[], name: RowName): SheetRow | undefined => {
  const found = rows[findInsertionIndex(rows, name)];
  return found !== undefined && compareRowNames(found.row, name) === 0 ? found : undefined;
};

/**
 * Removes and sets rows; all others are shared with `rows`.
 *
 * @param rows - in order
 * @param removed - `route/kind` of the rows that go
 * @param changed - rows that are new or take the place of their namesakes, each once, in any order
 */
export const replaceRows = (
  rows: readonly SheetRow[],
  removed: ReadonlySet<string>,
  changed: readonly SheetRow[],
): SheetRow[] => {
  const kept = removed.size === 0 ? rows : rows.filter(({ row }) => !removed.has(rowKey(row)));
  const ordered = [...changed].sort((left, right) => compareRowNames(left.row, right.row));
  const replaced: SheetRow[] = [];
  let next = 0;
  for (const each of ordered) {
    const place = findInsertionIndex(kept, each.row);
    replaced.push(...kept.slice(next, place), each);
    const existing = kept[place];
    const isReplaced = existing !== undefined && compareRowNames(existing.row, each.row) === 0;
    next = isReplaced ? place + 1 : place;
  }
  return [...replaced, ...kept.slice(next)];
};

/** Takes a row before and after a change; undefined where it does not stand. */
export type RowVisitor = (before: SheetRow | undefined, after: SheetRow | undefined) => void;

/** Walks two lists of rows, both in order, side by side; rows that both share are passed over. */
export const visitChangedRows = (
  before: readonly SheetRow[],
  after: readonly SheetRow[],
  visit: RowVisitor,
): void => {
  let [left, right] = [0, 0];
  while (left < before.length || right < after.length) {
    const [old, current] = [before[left], after[right]];
    const order = compareHeads(old, current);
    if (old !== current) {
      visit(order <= 0 ? old : undefined, order >= 0 ? current : undefined);
    }
    left += order <= 0 ? 1 : 0;
    right += order >= 0 ? 1 : 0;
  }
};

/** Orders the next rows of two lists; a list that has ended comes last. */
const compareHeads = (left: SheetRow | undefined, right: SheetRow | undefined): number => {
  if (left === right) {
    return 0;
  }
  if (left === undefined || right === undefined) {
    return left === undefined ? 1 : -1;
  }
  return compareRowNames(left.row, right.row);
};
