import { readFileSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { identifier, type PartnerId } from '../../src/core/identifiers.js';
import { formatColumnReference } from '../../src/table/format-column-reference.js';
import type { RouteRow } from '../../src/table/route-row.js';
import { hasErrors, validateChangedRows, validateRows } from '../../src/table/validate-rows.js';
import { createRow } from './rows.js';

const partner: PartnerId = identifier('ensemble');
const services = [
  { service: 'booking-desk-1', slots: 10, meanLegMs: 20 },
  { service: 'booking-desk-2', slots: 8, meanLegMs: 40 },
];

const check = (rows: readonly RouteRow[]): string[] =>
  validateRows(rows, { place: 'sheet/ensemble', partner, services }).map(
    (finding) => `${finding.severity} ${finding.place.replace('sheet/ensemble row ', '')}`,
  );

describe('the validation of a sheet', () => {
  it('reports nothing for a plain row', () => {
    expect(check([createRow()])).toEqual([]);
  });

  it('reports rows of another partner, duplicate rows and invalid values together', () => {
    const rows = [
      createRow({ partner: 'tawe' }),
      createRow({ kind: 'swap' }),
      createRow({ kind: 'swap', weight: Number.NaN }),
    ];
    expect(check(rows)).toEqual([
      'error roster/page column partner',
      'error roster/swap',
      'error roster/swap column weight',
    ]);
    expect(hasErrors(validateRows(rows, { place: 'a', partner }))).toBe(true);
  });

  it.each<[Parameters<typeof createRow>[0], string]>([
    [{ services: ['booking-desk-*', 'organ-loft'] }, 'services'],
    [{ concurrentLimit: 9 }, 'concurrentLimit'],
    [{ concurrentLimit: 19, fanOut: 'key' }, 'concurrentLimit'],
    [{ perSecondLimit: 201 }, 'perSecondLimit'],
    [{ deadlineMs: 39 }, 'deadlineMs'],
    [{ weight: 2 }, 'weight'],
    [{ extraLoadLimit: 0 }, 'hedging'],
    [{ safeToRepeat: false, fanOut: 'key' }, 'hedging'],
    [{ coverage: 0.9, fanOut: 'key' }, 'coverage'],
    [{ coverage: 0.9, merge: 'sum' }, 'coverage'],
    [{ coverage: 0 }, 'coverage'],
    [{ safeToRepeat: false, hedging: false }, 'fanOut'],
  ])('warns about %j', (overrides, column) => {
    expect(check([createRow(overrides)])).toEqual([`warning roster/page column ${column}`]);
  });

  it.each<Parameters<typeof createRow>[0]>([
    { concurrentLimit: 8, perSecondLimit: 200, deadlineMs: 40 },
    { concurrentLimit: 18, fanOut: 'key' },
    { safeToRepeat: false, hedging: false, fanOut: 'key' },
  ])('does not warn about %j', (overrides) => {
    expect(check([createRow(overrides)])).toEqual([]);
  });

  it('does not warn about a weight if another row uses the same services', () => {
    const rows = [
      createRow({ weight: 2 }),
      createRow({ kind: 'swap', services: ['booking-desk-2'] }),
    ];
    expect(check(rows)).toEqual([]);
  });

  it('reports a row whose services are not a list and continues with the next row', () => {
    const broken = { ...createRow(), services: 'booking-desk-*' } as unknown as RouteRow;
    expect(check([broken, createRow({ kind: 'swap', coverage: 0 })])).toEqual([
      'error roster/page column services',
      'warning roster/swap column coverage',
    ]);
  });

  it('reports only the findings of changed rows', () => {
    const rows = [createRow({ weight: 0 }), createRow({ kind: 'swap', weight: 0 })];
    const current = rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'mair' }));
    const found = validateChangedRows(current, rows.slice(1), { place: 'a', partner });
    expect(found.map((finding) => finding.place)).toEqual(['a row roster/swap column weight']);
  });

  it('reports the same findings for changed rows as a validation of all rows', () => {
    const arbitraryRows = fc.uniqueArray(
      fc.record({
        kind: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
        weight: fc.constantFrom(0, 1, 3),
        partner: fc.constantFrom('ensemble', 'ensemble', 'tawe'),
        services: fc.subarray(['booking-desk-1', 'booking-desk-*', 'desk-9'], { minLength: 1 }),
        concurrentLimit: fc.constantFrom(1, 30),
        changed: fc.boolean(),
      }),
      { selector: ({ kind }) => kind },
    );
    fc.assert(
      fc.property(arbitraryRows, fc.boolean(), (drawn, known) => {
        // Unchanged rows are valid: they were validated when they were written.
        const checked = { weight: 2, partner: 'ensemble' };
        const rows = drawn.map(({ changed, ...columns }) =>
          createRow(changed ? columns : { ...columns, ...checked }),
        );
        const changed = rows.filter((_, index) => drawn[index]?.changed);
        const sheet = { place: 'a', partner, ...(known ? { services } : {}) };
        const places = changed.map((row) => `a row ${row.route}/${row.kind} `);
        const ofChanged = validateRows(rows, sheet).filter((finding) =>
          places.some((place) => finding.place.startsWith(place)),
        );
        const current = rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'mair' }));
        expect(validateChangedRows(current, changed, sheet)).toEqual(ofChanged);
      }),
      { seed: 3, numRuns: 500 },
    );
  });
});

describe('the reference page of columns', () => {
  it('equals the generated text', () => {
    const page = new URL('../../docs/reference/table-columns.md', import.meta.url);
    expect(readFileSync(page, 'utf8')).toBe(formatColumnReference());
  });
});
