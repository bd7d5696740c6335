import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { rowKey } from '../../src/table/row-key.js';
import { findRow, orderRows, replaceRows, visitChangedRows } from '../../src/table/row-order.js';
import type { SheetRow } from '../../src/table/sheet.js';
import { createRow } from './rows.js';

const KINDS = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

const createSheetRow = (kind: string, rowVersion: number): SheetRow => ({
  row: createRow({ kind }),
  rowVersion,
  writtenBy: 'mair',
});

const arbitrarySheet = (version: number): fc.Arbitrary<readonly SheetRow[]> =>
  fc.subarray(KINDS).map((kinds) => kinds.map((kind) => createSheetRow(kind, version)));

const byKey = (rows: readonly SheetRow[]): Map<string, SheetRow> =>
  new Map(rows.map((each) => [rowKey(each.row), each]));

describe('sorted rows', () => {
  it('are returned as they are, or sorted with the last of duplicate rows', () => {
    const ordered = KINDS.map((kind) => createSheetRow(kind, 1));
    expect(orderRows(ordered)).toBe(ordered);
    const twice = [createSheetRow('b', 1), createSheetRow('a', 1), createSheetRow('b', 2)];
    expect(orderRows(twice)).toEqual([createSheetRow('a', 1), createSheetRow('b', 2)]);
  });

  it('are found and replaced as in a map, and unchanged rows are shared', () => {
    fc.assert(
      fc.property(
        arbitrarySheet(1),
        fc.shuffledSubarray(KINDS),
        fc.subarray(KINDS),
        (rows, set, gone) => {
          const removed = gone.filter((kind) => !set.includes(kind));
          const expected = byKey(rows);
          removed.forEach((kind) => expected.delete(`roster/${kind}`));
          set.forEach((kind) => expected.set(`roster/${kind}`, createSheetRow(kind, 2)));
          const keys = new Set(removed.map((kind) => `roster/${kind}`));
          const changed = set.map((kind) => createSheetRow(kind, 2));
          const replaced = replaceRows(rows, keys, changed);
          expect(replaced).toEqual(orderRows([...expected.values()]));
          const shared = replaced.filter((each) => each.rowVersion === 1);
          expect(shared.every((each) => rows.includes(each))).toBe(true);
          for (const kind of KINDS) {
            expect(findRow(replaced, createRow({ kind }))).toBe(
              replaced.find((each) => each.row.kind === kind),
            );
          }
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it('are visited where two lists differ, without the rows that both lists share', () => {
    fc.assert(
      fc.property(
        arbitrarySheet(1),
        arbitrarySheet(2),
        fc.subarray(KINDS),
        (before, wanted, kept) => {
          const after = wanted.map(
            (each) =>
              before.find(({ row }) => row.kind === each.row.kind && kept.includes(row.kind)) ??
              each,
          );
          const visited: [SheetRow | undefined, SheetRow | undefined][] = [];
          visitChangedRows(before, after, (old, current) => visited.push([old, current]));
          const [left, right] = [byKey(before), byKey(after)];
          const expected = KINDS.map((kind) => `roster/${kind}`)
            .map((key) => [left.get(key), right.get(key)])
            .filter(([old, current]) => old !== current);
          expect(visited).toEqual(expected);
        },
      ),
      { seed: 8, numRuns: 300 },
    );
  });
});
