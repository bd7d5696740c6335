/** Rows for tests of the table. */
import fc from 'fast-check';
import { identifier } from '../../src/core/identifiers.js';
import type { RouteRow } from '../../src/table/route-row.js';

/** Columns that a test sets; the others have fixed defaults. */
export type RowOverrides = Partial<Omit<RouteRow, 'partner' | 'route' | 'kind'>> & {
  readonly partner?: string;
  readonly route?: string;
  readonly kind?: string;
};

/** Creates a valid row; `overrides` replace the defaults. */
export const createRow = (overrides: RowOverrides = {}): RouteRow => ({
  services: ['booking-desk-*'],
  fanOut: 'all',
  merge: 'concatenate',
  maxItems: 100,
  weight: 1,
  deadlineMs: 1_000,
  coverage: 1,
  safeToRepeat: true,
  extraLoadLimit: 0.02,
  hedging: true,
  snapshotPolicy: 'covered',
  ...overrides,
  partner: identifier(overrides.partner ?? 'ensemble'),
  route: identifier(overrides.route ?? 'roster'),
  kind: identifier(overrides.kind ?? 'page'),
});

const arbitraryName = (): fc.Arbitrary<string> => fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}$/);

const share = (): fc.Arbitrary<number> => fc.double({ min: 0, max: 1, noNaN: true }).map(Math.abs);

/** Generates rows that are valid in every column. */
export const arbitraryRow = (): fc.Arbitrary<RouteRow> =>
  fc
    .record(
      {
        partner: arbitraryName(),
        route: arbitraryName(),
        kind: arbitraryName(),
        services: fc.uniqueArray(fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}\*?$/), {
          minLength: 1,
          maxLength: 5,
        }),
        fanOut: fc.constantFrom('all', 'key') as fc.Arbitrary<RouteRow['fanOut']>,
        merge: fc.constantFrom('concatenate', 'top', 'sum') as fc.Arbitrary<RouteRow['merge']>,
        maxItems: fc.integer({ min: 1, max: 10_000 }),
        weight: fc.double({ min: 0, minExcluded: true, max: 1_000, noNaN: true }),
        deadlineMs: fc.integer({ min: 1, max: 60_000 }),
        coverage: share(),
        safeToRepeat: fc.boolean(),
        concurrentLimit: fc.integer({ min: 1, max: 1_000_000 }),
        perSecondLimit: fc.double({ min: 0, minExcluded: true, max: 1_000_000, noNaN: true }),
        extraLoadLimit: share(),
        hedging: fc.boolean(),
        snapshotPolicy: fc.constantFrom('covered', 'newest') as fc.Arbitrary<
          RouteRow['snapshotPolicy']
        >,
      },
      { noNullPrototype: true, requiredKeys: REQUIRED_FIELDS },
    )
    .map((row) => createRow(row));

const REQUIRED_FIELDS = [
  ...(['partner', 'route', 'kind', 'services', 'fanOut', 'merge', 'maxItems', 'weight'] as const),
  ...(['deadlineMs', 'coverage', 'safeToRepeat', 'extraLoadLimit', 'hedging'] as const),
  ...(['snapshotPolicy'] as const),
];
