/**
 * Operations on sorted rows: finding, replacing and comparing without an index. An edit of one row
 * of a long sheet is cheap, and the new list shares the unchanged rows with the old one.
 */
import { compareRowNames, rowKey, type RowName } from './row-key.js';
import type { SheetRow } from './sheet.js';

/** Whether `rows` are sorted by route and kind, without duplicates. */
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

/** Sorts by route and kind; the last of duplicate rows wins. Returns `rows` itself if it is sorted. */
export const orderRows = (rows: readonly SheetRow[]): readonly SheetRow[] =>
  isOrdered(rows)
    ? rows
    : [...new Map(rows.map((each) => [rowKey(each.row), each])).values()].sort((left, right) =>
        compareRowNames(left.row, right.row),
      );

/** Index of the first row that does not sort before `name`. */
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

/** Finds a row in `rows`, which must be sorted. */
export const findRow = (rows: readonly SheetRow[], name: RowName): SheetRow | undefined => {
  const found = rows[findInsertionIndex(rows, name)];
  return found !== undefined && compareRowNames(found.row, name) === 0 ? found : undefined;
};

/**
 * Removes and sets rows; the result shares all other rows with `rows`.
 *
 * @param rows - sorted rows
 * @param removed - names (`route/kind`) of the rows to remove
 * @param changed - rows to add, or to replace the rows of the same name; in any order, no duplicates
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

/** Called with a row before and after a change; undefined where the row does not exist. */
export type RowVisitor = (before: SheetRow | undefined, after: SheetRow | undefined) => void;

/** Merges two sorted lists of rows and visits each row that differs; skips rows that both share. */
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

/** Compares the next rows of two lists; undefined marks the end of a list and sorts last. */
const compareHeads = (left: SheetRow | undefined, right: SheetRow | undefined): number => {
  if (left === right) {
    return 0;
  }
  if (left === undefined || right === undefined) {
    return left === undefined ? 1 : -1;
  }
  return compareRowNames(left.row, right.row);
};
