/**
 * Frames of a link: a length of four bytes (big-endian), followed by a list of messages in CBOR. A
 * frame of length 0 is a heartbeat.
 */
import { type Either, Left, Right } from 'purify-ts';
import type { LinkMessage } from '../peer-message.js';
import { decodeCbor, encodeCbor } from './cbor.js';
import { FRAME_HEADER_BYTES, encodeFrame } from './frame.js';
import { checkLinkMessage } from './message-shapes.js';
import { packMessage, unpackMessage } from './pack-grants.js';

/** Maximum length of a frame of an authenticated peer, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** The frame of length 0. */
export const HEARTBEAT_FRAME = Buffer.alloc(FRAME_HEADER_BYTES);

/** Encodes messages into one frame. */
export const encodeLinkFrame = (messages: readonly LinkMessage[]): Buffer =>
  encodeFrame(encodeCbor(messages.map(packMessage)));

/** Decodes the body of a frame; Left if any of its messages is malformed. */
export const decodeLinkFrame = (body: Uint8Array): Either<string, readonly LinkMessage[]> => {
  const decoded = decodeCbor(body);
  if (decoded.isLeft()) {
    return Left('is not CBOR');
  }
  const packed: unknown = decoded.extract();
  if (!Array.isArray(packed)) {
    return Left('is not a list of messages');
  }
  const messages: readonly unknown[] = packed.map(unpackMessage);
  for (const message of messages) {
    const checked = checkLinkMessage(message);
    if (checked.isLeft()) {
      return Left(String(checked.extract()));
    }
  }
  return Right(messages as LinkMessage[]);
};
