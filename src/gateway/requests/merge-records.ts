/** Merges parts of opaque records of one size: the greatest ones, compared byte by byte. */

/** Size of a record, in bytes. */
export const RECORD_BYTES = 16;

interface RecordPosition {
  readonly source: Buffer;
  readonly offset: number;
}

const compareRecords = (left: RecordPosition, right: RecordPosition): number =>
  left.source.compare(
    right.source,
    right.offset,
    right.offset + RECORD_BYTES,
    left.offset,
    left.offset + RECORD_BYTES,
  );

const positionsOf = (part: Uint8Array): RecordPosition[] => {
  const source = Buffer.from(part.buffer, part.byteOffset, part.byteLength);
  const count = Math.floor(source.length / RECORD_BYTES);
  return Array.from({ length: count }, (_, index) => ({ source, offset: index * RECORD_BYTES }));
};

/**
 * The greatest `maxRecords` records of all parts, greatest first; equal records all count, and a
 * rest shorter than a record is none.
 */
export const mergeRecords = (parts: readonly Uint8Array[], maxRecords: number): Buffer => {
  const positions = parts.flatMap(positionsOf);
  positions.sort((left, right) => compareRecords(right, left));
  const greatest = positions.slice(0, maxRecords);
  const merged = Buffer.allocUnsafe(greatest.length * RECORD_BYTES);
  greatest.forEach(({ source, offset }, index) => {
    source.copy(merged, index * RECORD_BYTES, offset, offset + RECORD_BYTES);
  });
  return merged;
};
