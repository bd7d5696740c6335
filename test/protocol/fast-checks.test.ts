import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { isUsualHistory, isUsualRowList } from '../../src/protocol/codec/fast-checks.js';
import {
  checkStoreObject,
  RECORD_LIST,
  ROW_LIST,
} from '../../src/protocol/codec/store-object-shape.js';
import { arbitraryRow, createRow } from '../table/rows.js';

const ODD_VALUES = [
  undefined,
  null,
  -1,
  0,
  0.5,
  2,
  1e300,
  Number.NaN,
  '',
  'all',
  true,
  [],
  [1],
  {},
];

const RECORD = {
  edit: 'e-1',
  operator: 'mair',
  writtenAt: 1,
  reason: 'season opens',
  rows: ['roster/page'],
  moreRows: 3,
  digest: 7,
  sheetVersion: 2,
};

/** A list of two elements: one with an odd value in `field`, and the unchanged element. */
const withOddValue = (
  element: Record<string, unknown>,
  field: string,
  value: unknown,
): unknown[] => [{ ...element, [field]: value }, element];

describe('the fast checks of rows and histories', () => {
  it('accept every row that is valid in all columns', () => {
    fc.assert(
      fc.property(fc.array(arbitraryRow(), { maxLength: 3 }), (rows) => {
        expect(isUsualRowList(rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'mair' })))).toBe(
          true,
        );
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('agree with the schemas on every odd value of every field', () => {
    const row: Record<string, unknown> = {
      ...createRow(),
      concurrentLimit: 3,
      perSecondLimit: 1.5,
    };
    const sheetRow = { row, rowVersion: 1, writtenBy: 'mair' };
    for (const value of ODD_VALUES) {
      const rows = [
        ...Object.keys(row).map((field) => [{ ...sheetRow, row: { ...row, [field]: value } }]),
        ...Object.keys(sheetRow).map((field) => withOddValue(sheetRow, field, value)),
        [value],
        value,
      ];
      for (const list of rows) {
        expect([list, isUsualRowList(list)]).toEqual([list, ROW_LIST.safeParse(list).success]);
      }
      const histories = Object.keys(RECORD).map((field) => withOddValue(RECORD, field, value));
      for (const list of [...histories, [value], value]) {
        expect([list, isUsualHistory(list)]).toEqual([list, RECORD_LIST.safeParse(list).success]);
      }
    }
  });

  it('leave the report of an invalid field to the schema', () => {
    const rows = [{ row: { ...createRow(), weight: 0 }, rowVersion: 1, writtenBy: 'mair' }];
    const sheet = { partner: 'ensemble', rows, history: [] };
    const content = { type: 'sheet', sheet };
    const checked = checkStoreObject({ name: 'sheet/ensemble', version: 1, revision: 1, content });
    expect(checked.extract()).toContain('sheet.rows.0.row.weight: ');
  });
});
