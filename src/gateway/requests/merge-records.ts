/** Merges parts of opaque, equally sized records: keeps the greatest ones, compared byte by byte. */

/** Size of a record, in bytes. */
export const RECORD_BYTES = 16;

/** Whether the record at `left` is greater than the one at `right`. */
const isGreater = (records: Buffer, left: number, right: number): boolean => {
  for (let index = 0; index < RECORD_BYTES; index += 1) {
    const difference = (records[left + index] ?? 0) - (records[right + index] ?? 0);
    if (difference !== 0) {
      return difference > 0;
    }
  }
  return false;
};

/** Index at which a record is inserted into the kept ones, which are in descending order; after equal records. */
const insertionIndex = (records: Buffer, kept: readonly number[], offset: number): number => {
  let low = 0;
  let high = kept.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (isGreater(records, offset, kept[middle] ?? 0)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
};

/** Concatenates the whole records of the parts; a trailing incomplete record is dropped. */
const joinParts = (parts: readonly Uint8Array[]): Buffer =>
  Buffer.concat(parts.map((part) => part.subarray(0, part.length - (part.length % RECORD_BYTES))));

/** Offsets of the greatest `maxRecords` records, greatest first. */
const selectGreatest = (records: Buffer, maxRecords: number): readonly number[] => {
  const kept: number[] = [];
  for (let offset = 0; offset < records.length; offset += RECORD_BYTES) {
    const smallest = kept[maxRecords - 1];
    if (smallest !== undefined && !isGreater(records, offset, smallest)) {
      continue;
    }
    kept.splice(insertionIndex(records, kept, offset), 0, offset);
    if (kept.length > maxRecords) {
      kept.pop();
    }
  }
  return kept;
};

/**
 * The greatest `maxRecords` records of all parts in descending order. Duplicates are kept; a trailing incomplete record
 * is dropped.
 */
export const mergeRecords = (parts: readonly Uint8Array[], maxRecords: number): Buffer => {
  const records = joinParts(parts);
  const greatest = selectGreatest(records, maxRecords);
  const merged = Buffer.allocUnsafe(greatest.length * RECORD_BYTES);
  greatest.forEach((offset, index) => {
    records.copy(merged, index * RECORD_BYTES, offset, offset + RECORD_BYTES);
  });
  return merged;
};
