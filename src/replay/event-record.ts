/**
 * The format of recorded events: frames of four bytes of length (big-endian) and that many bytes of
 * CBOR. The first frame is the header, each later one an event with a digest of its effects.
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

/** The first frame: what the core was created from. */
export interface RecordHeader {
  readonly format: number;
  readonly options: CoreOptions;
}

/** One event and what came of it. */
export interface RecordEntry {
  readonly event: Event;
  /** See `digestEffects`. */
  readonly digest: string;
}

/** A whole record. */
export interface EventRecord {
  readonly options: CoreOptions;
  readonly entries: readonly RecordEntry[];
  /** Bytes after the last whole frame: the process ended while it wrote. */
  readonly cutBytes: number;
}

/** SHA-256 over the effects as CBOR; equal for effects that are equal byte for byte. */
export const digestEffects = (effects: readonly Effect[]): string =>
  createHash('sha256').update(encodeCbor(effects)).digest('base64');

/** The header as a frame. */
export const encodeHeader = (options: CoreOptions): Buffer =>
  encodeFrame(encodeCbor({ format: RECORD_FORMAT, options } satisfies RecordHeader));

/** An entry as a frame. */
export const encodeEntry = (event: Event, effects: readonly Effect[]): Buffer =>
  encodeFrame(encodeCbor({ event, digest: digestEffects(effects) } satisfies RecordEntry));

const cutFrames = (bytes: Buffer): { bodies: Buffer[]; cutBytes: number } => {
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

/** Reads a record; a last frame that is not whole is left out. */
export const decodeRecord = (bytes: Buffer): Either<string, EventRecord> => {
  const { bodies, cutBytes } = cutFrames(bytes);
  const [first, ...rest] = bodies.map((body) => decodeCbor(body).orDefault(undefined));
  if (!isHeader(first)) {
    return Left(`the file is no record of format ${RECORD_FORMAT}`);
  }
  const wrong = rest.findIndex((entry) => !isEntry(entry));
  return wrong === -1
    ? Right({ options: first.options, entries: rest.filter(isEntry), cutBytes })
    : Left(`entry ${wrong + 1} of the record is malformed`);
};
