import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { StoreObject } from '../../src/catalog/store-object.js';
import { identifier } from '../../src/core/identifiers.js';
import { compareRows } from '../../src/table/row-key.js';
import { applySheetDelta, DELTA_LIMIT, diffSheet } from '../../src/table/sheet-delta.js';
import {
  HISTORY_LIMIT,
  NODE_HISTORY_LIMIT,
  type EditRecord,
  type SheetRow,
} from '../../src/table/sheet.js';
import { createRow } from './rows.js';

const record = (index: number): EditRecord => ({
  edit: identifier(`e-${index}`),
  operator: 'mair',
  writtenAt: index,
  reason: 'season opens',
  rows: ['roster/page'],
  digest: index,
  sheetVersion: index,
});

const recordsTo = (newest: number): EditRecord[] =>
  Array.from({ length: newest }, (_, index) => record(index + 1)).slice(-NODE_HISTORY_LIMIT);

const sheetAt = (
  revision: number,
  rows: readonly SheetRow[],
  history: readonly EditRecord[],
): StoreObject => ({
  name: identifier('sheet/ensemble'),
  version: revision,
  revision,
  content: { type: 'sheet', sheet: { partner: identifier('ensemble'), rows, history } },
});

const createSheetRow = (kind: string, rowVersion: number, weight = 1): SheetRow => ({
  row: createRow({ kind, weight }),
  rowVersion,
  writtenBy: 'mair',
});

const arbitraryRows = (): fc.Arbitrary<SheetRow[]> =>
  fc
    .uniqueArray(
      fc.record({
        kind: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
        weight: fc.integer({ min: 1, max: 3 }),
        version: fc.integer({ min: 1, max: 2 }),
      }),
      { selector: ({ kind }) => kind, maxLength: 6 },
    )
    .map((rows) =>
      rows
        .map(({ kind, weight, version }) => createSheetRow(kind, version, weight))
        .sort((left, right) => compareRows(left.row, right.row)),
    );

describe('a sheet delta', () => {
  it('turns the old sheet into the new one, for any change', () => {
    const newest = fc.oneof(
      fc.nat(5),
      fc.integer({ min: NODE_HISTORY_LIMIT - 2, max: NODE_HISTORY_LIMIT + 2 }),
    );
    fc.assert(
      fc.property(
        arbitraryRows(),
        arbitraryRows(),
        newest,
        fc.nat(3),
        (before, after, old, more) => {
          const from = sheetAt(1, before, recordsTo(old));
          const to = sheetAt(2, after, recordsTo(old + more));
          const delta = diffSheet(from, to);
          expect(delta).toBeDefined();
          expect(delta && applySheetDelta(from, delta)).toEqual(to);
        },
      ),
      { seed: 11, numRuns: 300 },
    );
  });

  it('is small even if the history is long', () => {
    const from = sheetAt(1, [createSheetRow('a', 1)], recordsTo(NODE_HISTORY_LIMIT));
    const to = sheetAt(2, [createSheetRow('a', 2, 5)], recordsTo(NODE_HISTORY_LIMIT + 1));
    const delta = diffSheet(from, to);
    expect(delta).toMatchObject({
      fromRevision: 1,
      removed: [],
      rows: [createSheetRow('a', 2, 5)],
    });
    expect(delta?.records).toEqual([record(NODE_HISTORY_LIMIT + 1)]);
    const stored = Array.from({ length: HISTORY_LIMIT }, (_, index) => record(index + 1));
    const whole = JSON.stringify(sheetAt(2, [createSheetRow('a', 2, 5)], stored));
    expect(whole.length / JSON.stringify(delta).length).toBeGreaterThan(100);
  });

  it('is not created if the sheet does not continue the history, is unsorted or changed a lot', () => {
    const from = sheetAt(1, [createSheetRow('a', 1)], recordsTo(3));
    expect(diffSheet(from, sheetAt(2, [createSheetRow('a', 1)], recordsTo(2)))).toBeUndefined();
    expect(diffSheet(from, sheetAt(2, [createSheetRow('a', 1)], [record(9)]))).toBeUndefined();
    const many = Array.from({ length: DELTA_LIMIT + 1 }, (_, index) =>
      createSheetRow(`k${String(index).padStart(4, '0')}`, 2),
    );
    expect(diffSheet(from, sheetAt(2, many, recordsTo(3)))).toBeUndefined();
    const unsorted = [createSheetRow('b', 1), createSheetRow('a', 1)];
    expect(diffSheet(from, sheetAt(2, unsorted, recordsTo(3)))).toBeUndefined();
  });

  it('applies only to the sheet at its base revision', () => {
    const from = sheetAt(1, [createSheetRow('a', 1)], recordsTo(1));
    const delta = diffSheet(from, sheetAt(2, [createSheetRow('a', 2)], recordsTo(2)));
    expect(delta && applySheetDelta({ ...from, revision: 3 }, delta)).toBeUndefined();
    expect(delta && applySheetDelta(undefined, delta)).toBeUndefined();
  });
});
