/** Merges parts of opaque records of one size: the greatest ones, compared byte by byte. */
import { BinaryHeap } from '../../core/binary-heap.js';

/** Size of a record, in bytes. */
export const RECORD_BYTES = 16;

/** Leading bytes of a record that are compared as one number; a double holds no more exactly. */
const PREFIX_BYTES = 6;

interface RecordPosition {
  readonly prefix: number;
  readonly source: Buffer;
  readonly offset: number;
}

const isSmaller = (left: RecordPosition, right: RecordPosition): boolean => {
  if (left.prefix !== right.prefix) {
    return left.prefix < right.prefix;
  }
  const compared = left.source.compare(
    right.source,
    right.offset,
    right.offset + RECORD_BYTES,
    left.offset,
    left.offset + RECORD_BYTES,
  );
  return compared < 0;
};

/** Puts the records of a part into `greatest`, which holds no more than `maxRecords`. */
const takePart = (
  greatest: BinaryHeap<RecordPosition>,
  part: Uint8Array,
  maxRecords: number,
): void => {
  const source = Buffer.from(part.buffer, part.byteOffset, part.byteLength);
  for (let offset = 0; offset + RECORD_BYTES <= source.length; offset += RECORD_BYTES) {
    const prefix = source.readUIntBE(offset, PREFIX_BYTES);
    const smallest = greatest.first;
    const isFull = greatest.size >= maxRecords;
    if (isFull && smallest !== undefined && prefix < smallest.prefix) {
      continue;
    }
    greatest.push({ prefix, source, offset });
    if (isFull) {
      greatest.pop();
    }
  }
};

/**
 * The greatest `maxRecords` records of all parts, greatest first; equal records all count, and a
 * rest shorter than a record is none.
 */
export const mergeRecords = (parts: readonly Uint8Array[], maxRecords: number): Buffer => {
  const greatest = new BinaryHeap<RecordPosition>(isSmaller);
  parts.forEach((part) => takePart(greatest, part, maxRecords));
  const merged = Buffer.allocUnsafe(greatest.size * RECORD_BYTES);
  for (let record = greatest.pop(); record !== undefined; record = greatest.pop()) {
    const { source, offset } = record;
    source.copy(merged, greatest.size * RECORD_BYTES, offset, offset + RECORD_BYTES);
  }
  return merged;
};
