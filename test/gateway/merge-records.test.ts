import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { mergeRecords, RECORD_BYTES } from '../../src/gateway/requests/merge-records.js';

/** Reference implementation that sorts all records. */
const mergeBySorting = (parts: readonly Uint8Array[], maxRecords: number): Buffer => {
  const records = parts.flatMap((part) => {
    const bytes = Buffer.from(part);
    const count = Math.floor(bytes.length / RECORD_BYTES);
    return Array.from({ length: count }, (_, index) =>
      bytes.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES),
    );
  });
  records.sort((left, right) => right.compare(left));
  return Buffer.concat(records.slice(0, maxRecords));
};

/** Bytes with few distinct values, so that records share long prefixes and are often equal. */
const part = fc
  .array(fc.constantFrom(0, 1, 127, 128, 255), { maxLength: 12 * RECORD_BYTES })
  .map((bytes) => Uint8Array.from(bytes));

describe('mergeRecords', () => {
  it('returns the same records as sorting all of them', () => {
    const property = fc.property(
      fc.array(part, { maxLength: 6 }),
      fc.nat(20),
      (parts, maxCount) => {
        expect(mergeRecords(parts, maxCount)).toEqual(mergeBySorting(parts, maxCount));
      },
    );
    fc.assert(property, { seed: 20261202, numRuns: 500 });
  });

  it('keeps duplicate records and drops a trailing incomplete record', () => {
    const same = Buffer.alloc(RECORD_BYTES, 7);
    const merged = mergeRecords([Buffer.concat([same, Buffer.alloc(9, 255)]), same], 5);
    expect(merged).toEqual(Buffer.concat([same, same]));
  });

  it('returns no bytes without parts', () => {
    expect(mergeRecords([], 5)).toHaveLength(0);
  });
});
