/**
 * The format of recorded events: frames with a length of four bytes (big-endian) and that many bytes
 * of CBOR. The first frame is the header; each later frame holds an event and a digest of its effects.
 */
import { createHash } from 'node:crypto';
import { type Either, Left, Right } from 'purify-ts';
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import type { CoreOptions } from '../core/state.js';
import { decodeCbor, encodeCbor } from '../protocol/codec/cbor.js';
import { FRAME_HEADER_BYTES, encodeFrame } from '../protocol/codec/frame.js';
import { isFields, isFiniteNumber, isText } from '../protocol/codec/shape.js';

/** Version of the format. */
const RECORD_FORMAT = 1;

/** The first frame: the options that the core was created with. */
export interface RecordHeader {
  readonly format: number;
  readonly options: CoreOptions;
}

/** One event and the digest of its effects. */
export interface RecordEntry {
  readonly event: Event;
  /** See `digestEffects`. */
  readonly digest: string;
}

/** A decoded record. */
export interface EventRecord {
  readonly options: CoreOptions;
  readonly entries: readonly RecordEntry[];
  /** Number of bytes after the last complete frame; above 0 if the process ended during a write. */
  readonly cutBytes: number;
}

/** Returns the SHA-256 digest of the CBOR encoding of `effects`, in base64. */
export const digestEffects = (effects: readonly Effect[]): string =>
  createHash('sha256').update(encodeCbor(effects)).digest('base64');

/** Encodes the header as a frame. */
export const encodeHeader = (options: CoreOptions): Buffer =>
  encodeFrame(encodeCbor({ format: RECORD_FORMAT, options } satisfies RecordHeader));

/** Encodes an entry as a frame. */
export const encodeEntry = (event: Event, effects: readonly Effect[]): Buffer =>
  encodeFrame(encodeCbor({ event, digest: digestEffects(effects) } satisfies RecordEntry));

const splitFrames = (bytes: Buffer): { bodies: Buffer[]; cutBytes: number } => {
  const bodies: Buffer[] = [];
  let start = 0;
  while (bytes.length - start >= FRAME_HEADER_BYTES) {
    const end = start + FRAME_HEADER_BYTES + bytes.readUInt32BE(start);
    if (end > bytes.length) {
      break;
    }
    bodies.push(bytes.subarray(start + FRAME_HEADER_BYTES, end));
    start = end;
  }
  return { bodies, cutBytes: bytes.length - start };
};

const isHeader = (value: unknown): value is RecordHeader =>
  isFields(value) && value['format'] === RECORD_FORMAT && isFields(value['options']);

const isEntry = (value: unknown): value is RecordEntry =>
  isFields(value) &&
  isText(value['digest']) &&
  isFields(value['event']) &&
  isText(value['event']['type']) &&
  isFiniteNumber(value['event']['at']);

/** Decodes a record and skips an incomplete last frame; Left describes a malformed record. */
export const decodeRecord = (bytes: Buffer): Either<string, EventRecord> => {
  const { bodies, cutBytes } = splitFrames(bytes);
  const [first, ...rest] = bodies.map((body) => decodeCbor(body).orDefault(undefined));
  if (!isHeader(first)) {
    return Left(`the file is not an event record of format ${RECORD_FORMAT}`);
  }
  const malformedIndex = rest.findIndex((entry) => !isEntry(entry));
  return malformedIndex === -1
    ? Right({ options: first.options, entries: rest.filter(isEntry), cutBytes })
    : Left(`entry ${malformedIndex + 1} of the record is malformed`);
};
